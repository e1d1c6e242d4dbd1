//! Mutations: deliberate defects of the product, which show that the checks detect them.

/// A deliberate defect that a simulation runs with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    #[default]
    None,
    /// A replica replies with a promise that it has not synced; a power loss forgets the promise.
    PromiseNotSynced,
    /// A replica replies to every request before the state is synced.
    AnswerBeforeSync,
    /// A replica whose disk was emptied goes on under its old identity.
    VoteAfterWipe,
    /// Replicas store a joint replica set as the final one that follows it, and proposers take it for that.
    JointSetSkipped,
    /// Controllers lose the applied history of configurations.
    AppliedHistoryLost,
    /// A read is answered from the value that the controller knows, without asking a majority.
    ReadWithoutMajority,
    /// Contact with a majority is not checked before something is promised.
    ContactNotChecked,
    /// Draining is acknowledged before a neighbor has confirmed it, and without contact with a majority.
    DrainWithoutContact,
    /// Replicas keep drains and ends of workers in memory alone.
    DrainKeptInMemory,
    /// A process forgets its records now and then, and so accepts older versions as newer.
    StaleRecordApplied,
    /// A store takes messages of a former epoch for ones of the epoch that it has promised. The scenarios do not find
    /// it reliably yet, so no test asks for it.
    EpochNotCompared,
    /// A store acknowledges entries before they are synced.
    StoreAnswersBeforeSync,
    /// A new placement names no previous replicas: the new primary does not read from them.
    PreviousReplicasNotRead,
    /// A decommission is reported as completed as soon as it is ordered.
    DecommissionNotAwaited,
}

impl Mutation {
    /// Whether drains are acknowledged without a quorum that has stored them. Such a quorum covers this defect
    /// up: it can't be had out of contact. Without it the checks see what contact alone promises.
    pub fn forgoes_stored_quorum(self) -> bool {
        self == Mutation::ContactNotChecked
    }
}
