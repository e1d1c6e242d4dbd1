//! Lease durations. The holder counts a lease from when it sent its request; the grantor waits longer before it grants
//! the same to another member, to allow for clock drift.

/// The duration of a lease, in seconds of the local clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The duration as its holder counts it.
    pub seconds: f64,
    /// The largest relative error of a member's clock: one of its seconds lasts `1 - drift` to `1 + drift` true
    /// seconds.
    pub drift: f64,
}

impl Lease {
    /// How long the grantor waits until the lease has surely ended: assumes the slowest clock at the holder and the
    /// fastest one here.
    pub fn grantor_seconds(&self) -> f64 {
        self.seconds * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// The seconds that have surely passed by the local clock when another member's clock has counted `reported`.
    pub fn min_elapsed(&self, reported: f64) -> f64 {
        reported * (1.0 - self.drift) / (1.0 + self.drift)
    }

    /// The lease of a vote. Short enough that a lost coordinator has a successor before the shares expire.
    pub fn vote_lease(&self) -> Lease {
        Lease {
            seconds: self.seconds / 4.0,
            ..*self
        }
    }

    /// The usual interval between two share requests of a member.
    pub fn request_interval(&self) -> f64 {
        self.seconds / 8.0
    }
}
