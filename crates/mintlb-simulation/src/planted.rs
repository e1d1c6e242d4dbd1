//! Faults that can be planted, to see that the checks find them.

/// A fault of the product that the model can play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// None.
    #[default]
    None,
    /// A replica answers a promise that it has not synced, and a loss of power forgets it.
    PromiseNotSynced,
    /// A replica answers all before it is synced.
    AnswerBeforeSync,
    /// A replica whose disk was emptied goes on under its old identity.
    VoteAfterWipe,
    /// Proposers take a joint set for the settled one that follows it.
    JointSetLeft,
    /// Controllers forget which configurations were taken.
    TakenForgotten,
    /// A read is answered from the value that the controller knows, without asking a majority.
    ReadWithoutMajority,
    /// Contact with a majority is not checked before something is promised.
    ContactNotChecked,
    /// A drain is acknowledged before a neighbour has confirmed it, and without contact.
    DrainInIsolation,
    /// A process forgets its records now and then, and so takes older ones for news.
    OldRecordOverNewer,
    /// A store takes messages of a former epoch for ones of the epoch that it has promised. The histories do not find
    /// it reliably yet, so no test asks for it.
    EpochNotCompared,
    /// A store says what it has before it is synced.
    StoreAnswersBeforeSync,
    /// A new placement names no previous replicas: the new primary does not read from them.
    PreviousNotRead,
    /// A retirement is called completed as soon as it is ordered.
    LeavingNotWaitedFor,
}
