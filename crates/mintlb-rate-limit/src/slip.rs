//! Slips planted for tests: each is a mistake that the model has to find. Compiled in for tests only.

#[cfg(feature = "slips")]
use std::cell::Cell;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slip {
    /// A lease counted from the answer in place of the question.
    FromReceipt,
    /// What was meant for an earlier life is taken.
    AnyLife,
    /// A part that moves brings its burst anew.
    BurstAnew,
    /// An answer that comes twice counts twice.
    Doubled,
    /// Who starts from nothing does not wait.
    Unwaiting,
}

#[cfg(feature = "slips")]
thread_local! {
    pub static PLANTED: Cell<Option<Slip>> = const { Cell::new(None) };
}

/// Whether this slip is planted.
#[macro_export]
macro_rules! slip {
    ($slip:ident) => {{
        #[cfg(feature = "slips")]
        let planted = $crate::slip::PLANTED.get() == Some($crate::slip::Slip::$slip);
        #[cfg(not(feature = "slips"))]
        let planted = false;
        planted
    }};
}
