//! Mutants: deliberate faults in the code that the trials must detect. Without the feature `trials` none can be
//! active.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Neither the holder of a lease nor the leader allows for clock drift.
    NoDrift,
    /// The holder counts its lease from the receipt of the answer instead of the sending of its request.
    FromReceipt,
    /// The holder does not check its lease again after a wait.
    NoSecondLook,
    /// A voter announces its vote before that is on disk.
    NotSynced,
    /// A new leader treats leases as expired at once.
    NoWait,
    /// Epochs restart with each term of a leader.
    EpochsReused,
    /// A permit is kept and reused.
    KeptPermit,
    /// Different runs of one process name are treated as the same process.
    Twins,
    /// A leader answers without asking a majority whether it still leads.
    NoConfirm,
    /// A voter that lost its data folder votes again under its old name.
    ForgottenVote,
    /// Proposals of a deposed leader are accepted.
    StaleReign,
    /// Corruption in the middle of the log is skipped.
    SkipSpoilt,
    /// A version of the rules takes effect as soon as it is announced.
    ForceAtOnce,
    /// A process counts the freshness of its rules from the receipt of the answer.
    FreshFromReceipt,
    /// A process always treats its rules as fresh.
    FreshForGood,
    /// Neither the module nor the core answers a held request at its deadline.
    ForgottenDeadline,
    /// A set-up whose connection was reset counts as never executed.
    ResetNeverRan,
    /// A final answer is written twice.
    AnsweredTwice,
    /// The minimum rung of a class applies to the first attempt only.
    FloorOfFirstAttempt,
    /// A process in shutdown takes as long as its work needs.
    LateDoors,
    /// The end of an attempt counts as written as soon as it is queued.
    QueuedIsWritten,
    /// The reconnection to a failed notice board is late.
    LateRetry,
    /// A connection that is closed gracefully is cut instead, and its pending output is dropped.
    CutAtClose,
}

impl Mutant {
    /// All mutants with their names.
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

/// Activates a mutant on this thread, or none.
#[cfg(feature = "trials")]
pub fn set_active(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

/// Returns the mutant that the environment variable `AMBERSPINDLE_MUTANT` names.
#[cfg(feature = "trials")]
pub fn from_environment() -> Option<Mutant> {
    let name = std::env::var("AMBERSPINDLE_MUTANT").ok()?;
    Mutant::ALL.iter().find(|(known, _)| *known == name).map(|(_, mutant)| *mutant)
}

/// Whether a mutant is active on this thread.
#[cfg(feature = "trials")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.get() == Some(mutant)
}

/// Whether a mutant is active on this thread: never.
#[cfg(not(feature = "trials"))]
#[inline(always)]
pub fn is_active(_: Mutant) -> bool {
    false
}
