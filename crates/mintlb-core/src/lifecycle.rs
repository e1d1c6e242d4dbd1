//! Whether this process takes clients: starting, ready, leaving or stopping. No I/O.

/// A change of the lifecycle. Events may come at any time, in any order and repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process can serve.
    Ready,
    /// Clients are to use other processes.
    Leave,
    /// Clients may use this process again.
    Join,
    /// The process is to exit. With a successor, another process already accepts the new clients.
    Stop { has_successor: bool },
}

/// How long connections stay open, in seconds. Health checks need time to notice the change, or clients would reconnect
/// to this process; after a stop other processes may be restarting as well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDelays {
    /// Seconds after [`LifecycleEvent::Leave`].
    pub after_leave: f64,
    /// Seconds after [`LifecycleEvent::Stop`].
    pub after_stop: f64,
}

/// The lifecycle state with its times. The facts are independent of each other, so that the order of events does not
/// matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifecycle {
    delays: CloseDelays,
    ready: bool,
    left_at: Option<f64>,
    /// When the process was told to exit, and whether it had a successor.
    stop: Option<(f64, bool)>,
}

impl Lifecycle {
    /// The state of a process that has just started.
    pub fn new(delays: CloseDelays) -> Lifecycle {
        Lifecycle {
            delays,
            ready: false,
            left_at: None,
            stop: None,
        }
    }

    /// Applies an event at `now`, in seconds of Unix time.
    ///
    /// # Errors
    /// If the event is not allowed in this state. Nothing has changed then.
    pub fn apply(&mut self, now: f64, event: LifecycleEvent) -> Result<(), &'static str> {
        match event {
            LifecycleEvent::Ready => self.ready = true,
            LifecycleEvent::Leave => self.left_at = self.left_at.or(Some(now)),
            LifecycleEvent::Join if self.stop.is_some() => {
                return Err("it is stopping, and takes no clients again");
            }
            LifecycleEvent::Join => self.left_at = None,
            LifecycleEvent::Stop { has_successor } => {
                self.stop = self.stop.or(Some((now, has_successor)))
            }
        }
        Ok(())
    }

    /// Whether new clients are welcome.
    pub fn is_ready(&self) -> bool {
        self.ready && self.left_at.is_none() && self.stop.is_none()
    }

    /// Since when new clients are unwelcome: the earlier of leaving and stopping.
    pub fn draining_since(&self) -> Option<f64> {
        self.left_at
            .into_iter()
            .chain(self.stopping_since())
            .reduce(f64::min)
    }

    /// Whether clients are being sent to other processes for now.
    pub fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    /// When the process was told to exit.
    pub fn stopping_since(&self) -> Option<f64> {
        self.stop.map(|(since, _)| since)
    }

    /// Whether connections are closed after their next answer; with a successor at once.
    pub fn closes_after_answer(&self, now: f64) -> bool {
        self.closes_idle_connections(now)
            || self.stop.is_some_and(|(_, has_successor)| has_successor)
    }

    /// Whether idle connections are closed as well. With a successor this waits for the delay: most connections bring a
    /// request before, and a request that crosses a close is read by nobody.
    pub fn closes_idle_connections(&self, now: f64) -> bool {
        let elapsed = |since: Option<f64>, delay| since.is_some_and(|since| now - since >= delay);
        elapsed(self.left_at, self.delays.after_leave)
            || elapsed(self.stopping_since(), self.delays.after_stop)
    }

    /// The state's name, as operators see it.
    pub fn state_name(&self) -> &'static str {
        match self {
            Lifecycle { stop: Some(_), .. } => "stopping",
            Lifecycle {
                left_at: Some(_), ..
            } => "leaving",
            Lifecycle { ready: true, .. } => "ready",
            _ => "starting",
        }
    }
}
