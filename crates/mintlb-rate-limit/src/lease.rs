//! How long what is given holds: who holds it counts a lease from when it asked, who gave it counts longer. Pure.

/// Seconds of a clock of one's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// As its holder counts it.
    pub seconds: f64,
    /// A second of a member's clock is at most this part longer or shorter than a true one.
    pub drift: f64,
}

impl Lease {
    /// As who gave it counts it, before it is given to another: with the slowest clock there and the fastest here.
    pub fn outlasted(&self) -> f64 {
        self.seconds * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Of so many seconds told by another's clock, those that have surely passed here.
    pub fn surely(&self, told: f64) -> f64 {
        told * (1.0 - self.drift) / (1.0 + self.drift)
    }

    /// For how long a keeper's vote holds: short enough that a lost divider has a successor before parts lapse.
    pub fn of_office(&self) -> Lease {
        Lease {
            seconds: self.seconds / 4.0,
            ..*self
        }
    }

    /// Between two questions of a member.
    pub fn round(&self) -> f64 {
        self.seconds / 8.0
    }
}
