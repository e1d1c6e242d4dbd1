//! The assignment of a machine's internal ports to programs.

/// The program that listens on an internal port, as two processes share a machine. The discriminant
/// is the offset from the first of the `internal_ports`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// The dispatcher.
    Dispatcher = 0,
    /// The controller.
    Controller = 1,
    /// The store.
    Store = 2,
}

impl InternalPort {
    /// The number of internal ports that are in use.
    pub(super) const COUNT: u16 = 3;
}
