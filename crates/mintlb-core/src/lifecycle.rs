//! Whether this process takes clients: starting, ready, leaving or stopping. Pure; all else follows from it.

/// What moves it. Each may come at any time, in any order and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// It can serve.
    Ready,
    /// Clients are to go elsewhere.
    Leave,
    /// And may come again.
    Join,
    /// The program is to end. With a successor, there is already one who takes new clients.
    Stop { has_successor: bool },
}

/// How many seconds after the word to leave, and to stop, connections stay open. Who asks whether we serve must have had
/// time to notice, or clients would come back here; and after the word to stop others may be starting again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDelays {
    pub after_leave: f64,
    pub after_stop: f64,
}

/// Where it stands, and since when. Facts that don't replace each other, so that their order doesn't matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifecycle {
    notice: CloseDelays,
    ready: bool,
    left: Option<f64>,
    stopped: Option<(f64, bool)>,
}

impl Lifecycle {
    pub fn new(notice: CloseDelays) -> Lifecycle {
        Lifecycle {
            notice,
            ready: false,
            left: None,
            stopped: None,
        }
    }

    /// What it is from then on; an error where the word can't be followed, and nothing has changed.
    pub fn apply(&mut self, now: f64, word: LifecycleEvent) -> Result<(), &'static str> {
        match word {
            LifecycleEvent::Ready => self.ready = true,
            LifecycleEvent::Leave => self.left = self.left.or(Some(now)),
            LifecycleEvent::Join if self.stopped.is_some() => {
                return Err("it is stopping, and takes no clients again");
            }
            LifecycleEvent::Join => self.left = None,
            LifecycleEvent::Stop { has_successor } => {
                self.stopped = self.stopped.or(Some((now, has_successor)))
            }
        }
        Ok(())
    }

    /// Whether clients should come.
    pub fn is_ready(&self) -> bool {
        self.ready && self.left.is_none() && self.stopped.is_none()
    }

    /// Since when they should not come any more, whoever said so first.
    pub fn draining_since(&self) -> Option<f64> {
        self.left
            .into_iter()
            .chain(self.stopping_since())
            .reduce(f64::min)
    }

    /// Whether clients are sent away for now.
    pub fn is_leaving(&self) -> bool {
        self.left.is_some()
    }

    /// Since when it is to end.
    pub fn stopping_since(&self) -> Option<f64> {
        self.stopped.map(|(since, _)| since)
    }

    /// Whether each answer is to be the last of its connection. A successor takes clients at once.
    pub fn closes_after_answer(&self, now: f64) -> bool {
        self.closes_idle_connections(now)
            || self.stopped.is_some_and(|(_, has_successor)| has_successor)
    }

    /// Whether idle connections are to be closed, too. With a successor not at once: most bring a request before,
    /// and one that crosses a close is read by nobody.
    pub fn closes_idle_connections(&self, now: f64) -> bool {
        let over = |since: Option<f64>, notice| since.is_some_and(|since| now - since >= notice);
        over(self.left, self.notice.after_leave)
            || over(self.stopping_since(), self.notice.after_stop)
    }

    /// One word for it.
    pub fn state_name(&self) -> &'static str {
        match self {
            Lifecycle {
                stopped: Some(_), ..
            } => "stopping",
            Lifecycle { left: Some(_), .. } => "leaving",
            Lifecycle { ready: true, .. } => "ready",
            _ => "starting",
        }
    }
}
