//! Wrong ways of doing things, for trials that must find them. Without the feature `trials` there are none.

/// One way of being wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Neither side sets a part aside for drift.
    NoDrift,
    /// The holder counts from the receipt of the answer.
    FromReceipt,
    /// The holder does not look at its lease again after a wait.
    NoSecondLook,
    /// A voter tells of its vote before that is on disk.
    NotSynced,
    /// A new leader calls leases expired at once.
    NoWait,
    /// Epochs begin anew with each reign.
    EpochsReused,
    /// A permit is kept and used again.
    KeptPermit,
    /// Runs of one name are taken for the same.
    Twins,
    /// A leader answers without asking a majority whether it still leads.
    NoConfirm,
    /// A voter that lost its folder votes again under its old name.
    ForgottenVote,
    /// What a deposed leader proposed counts.
    StaleReign,
    /// A spoilt middle of the log is skipped.
    SkipSpoilt,
    /// A version of the rules is in force as soon as it is announced.
    ForceAtOnce,
    /// A process counts its freshness from the receipt of the answer.
    FreshFromReceipt,
    /// A process never doubts its rules.
    FreshForGood,
    /// Neither the module nor the core answers a held request at its deadline.
    ForgottenDeadline,
    /// A set-up whose connection was reset counts as one that never ran.
    ResetNeverRan,
    /// A final answer is written twice.
    AnsweredTwice,
    /// The floor of a class holds for the first attempt alone.
    FloorOfFirstAttempt,
    /// A process that was told to end takes the time that its work needs.
    LateDoors,
    /// The end of an attempt counts as written once it is queued.
    QueuedIsWritten,
    /// A notice board that failed is asked again late.
    LateRetry,
    /// A connection that is let go is cut, and what waits there is dropped.
    CutAtClose,
}

impl Mutant {
    /// All of them, with the names they go by.
    pub const ALL: [(&'static str, Mutant); 23] = [
        ("no-drift", Mutant::NoDrift),
        ("from-receipt", Mutant::FromReceipt),
        ("no-second-look", Mutant::NoSecondLook),
        ("not-synced", Mutant::NotSynced),
        ("no-wait", Mutant::NoWait),
        ("epochs-reused", Mutant::EpochsReused),
        ("kept-permit", Mutant::KeptPermit),
        ("twins", Mutant::Twins),
        ("no-confirm", Mutant::NoConfirm),
        ("forgotten-vote", Mutant::ForgottenVote),
        ("stale-reign", Mutant::StaleReign),
        ("skip-spoilt", Mutant::SkipSpoilt),
        ("force-at-once", Mutant::ForceAtOnce),
        ("fresh-from-receipt", Mutant::FreshFromReceipt),
        ("fresh-for-good", Mutant::FreshForGood),
        ("forgotten-deadline", Mutant::ForgottenDeadline),
        ("reset-never-ran", Mutant::ResetNeverRan),
        ("answered-twice", Mutant::AnsweredTwice),
        ("floor-of-first-attempt", Mutant::FloorOfFirstAttempt),
        ("late-doors", Mutant::LateDoors),
        ("queued-is-written", Mutant::QueuedIsWritten),
        ("late-retry", Mutant::LateRetry),
        ("cut-at-close", Mutant::CutAtClose),
    ];
}

#[cfg(feature = "trials")]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}

/// Is wrong in one way from now on, on this thread.
#[cfg(feature = "trials")]
pub fn set_active(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

/// The one that the environment names.
#[cfg(feature = "trials")]
pub fn from_environment() -> Option<Mutant> {
    let name = std::env::var("AMBERSPINDLE_MUTANT").ok()?;
    Mutant::ALL.iter().find(|(known, _)| *known == name).map(|(_, mutant)| *mutant)
}

/// Whether things are to be done wrong in this way.
#[cfg(feature = "trials")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.get() == Some(mutant)
}

/// Whether things are to be done wrong in this way: never.
#[cfg(not(feature = "trials"))]
#[inline(always)]
pub fn is_active(_: Mutant) -> bool {
    false
}
