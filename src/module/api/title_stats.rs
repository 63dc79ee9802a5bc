//! What the decision module's table of titles holds.

/// What the decision module's table of titles holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TitleStats {
    /// The number of titles.
    pub titles: usize,
    /// The approximate memory for titles without a session, in bytes.
    pub idle_bytes: usize,
    /// The number of titles that were dropped to stay within that memory, since the start of the module.
    pub evicted: u64,
}
