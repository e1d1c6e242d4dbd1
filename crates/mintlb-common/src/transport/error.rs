//! The failures of a call.

/// The reason for which a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No response arrived within the time limit.
    #[error("M301 no answer in time")]
    TimedOut,
    /// The connection could not be established or was lost, or its queue was full.
    #[error("M302 out of reach")]
    Unreachable,
    /// The peer does not understand the request.
    #[error("M303 not understood")]
    NotUnderstood,
    /// Another incarnation runs at the address and discarded the request.
    #[error("M304 another process is at the address")]
    Replaced,
}

impl CallError {
    /// Whether the peer may have executed the request, or may still execute it. If not, the call
    /// can be repeated even when it is not idempotent.
    pub fn may_have_executed(self) -> bool {
        match self {
            CallError::TimedOut | CallError::Unreachable => true,
            CallError::NotUnderstood | CallError::Replaced => false,
        }
    }
}
