//! Mutations: faults that tests plant to check that the model finds them. Compiled only with the feature `slips`.

#[cfg(feature = "slips")]
use std::cell::Cell;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The holder counts a lease from when it received the grant, not from when it sent the request.
    LeaseFromReceipt,
    /// A member accepts messages that were meant for an earlier incarnation.
    AnyIncarnation,
    /// A bucket is full when its share changes.
    FullBurstOnChange,
    /// A duplicate of a grant is added to what is held.
    ApplyDuplicate,
    /// A voter or coordinator that starts without state does not wait for earlier leases to end.
    SkipStartupWait,
}

#[cfg(feature = "slips")]
thread_local! {
    pub static PLANTED: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Whether this mutation is planted in the current thread.
#[macro_export]
macro_rules! mutated {
    ($mutation:ident) => {{
        #[cfg(feature = "slips")]
        let planted =
            $crate::mutation::PLANTED.get() == Some($crate::mutation::Mutation::$mutation);
        #[cfg(not(feature = "slips"))]
        let planted = false;
        planted
    }};
}
