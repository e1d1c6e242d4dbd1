//! Whether this process takes clients: starting, ready, leaving or stopping. Pure; all else follows from it.

/// What moves it. Each may come at any time, in any order and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It can serve.
    Ready,
    /// Clients are to go elsewhere.
    Leave,
    /// And may come again.
    Join,
    /// The program is to end. With a successor, there is already one who takes new clients.
    Stop { succeeded: bool },
}

/// How many seconds after the word to leave, and to stop, connections stay open. Who asks whether we serve must have had
/// time to notice, or clients would come back here; and after the word to stop others may be starting again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    pub leave: f64,
    pub stop: f64,
}

/// Where it stands, and since when. Facts that don't replace each other, so that their order doesn't matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    notice: Notice,
    ready: bool,
    left: Option<f64>,
    stopped: Option<(f64, bool)>,
}

impl Standing {
    pub fn new(notice: Notice) -> Standing {
        Standing {
            notice,
            ready: false,
            left: None,
            stopped: None,
        }
    }

    /// What it is from then on; an error where the word can't be followed, and nothing has changed.
    pub fn hear(&mut self, now: f64, word: Word) -> Result<(), &'static str> {
        match word {
            Word::Ready => self.ready = true,
            Word::Leave => self.left = self.left.or(Some(now)),
            Word::Join if self.stopped.is_some() => {
                return Err("it is stopping, and takes no clients again");
            }
            Word::Join => self.left = None,
            Word::Stop { succeeded } => self.stopped = self.stopped.or(Some((now, succeeded))),
        }
        Ok(())
    }

    /// Whether clients should come.
    pub fn is_ready(&self) -> bool {
        self.ready && self.left.is_none() && self.stopped.is_none()
    }

    /// Since when they should not come any more, whoever said so first.
    pub fn turned(&self) -> Option<f64> {
        self.left.into_iter().chain(self.stopped()).reduce(f64::min)
    }

    /// Whether clients are sent away for now.
    pub fn is_leaving(&self) -> bool {
        self.left.is_some()
    }

    /// Since when it is to end.
    pub fn stopped(&self) -> Option<f64> {
        self.stopped.map(|(since, _)| since)
    }

    /// Whether each answer is to be the last of its connection. A successor takes clients at once.
    pub fn closes(&self, now: f64) -> bool {
        self.closes_idle(now) || self.stopped.is_some_and(|(_, succeeded)| succeeded)
    }

    /// Whether idle connections are to be closed, too. With a successor not at once: most bring a request before,
    /// and one that crosses a close is read by nobody.
    pub fn closes_idle(&self, now: f64) -> bool {
        let over = |since: Option<f64>, notice| since.is_some_and(|since| now - since >= notice);
        over(self.left, self.notice.leave) || over(self.stopped(), self.notice.stop)
    }

    /// One word for it.
    pub fn shown(&self) -> &'static str {
        match self {
            Standing {
                stopped: Some(_), ..
            } => "stopping",
            Standing { left: Some(_), .. } => "leaving",
            Standing { ready: true, .. } => "ready",
            _ => "starting",
        }
    }
}
