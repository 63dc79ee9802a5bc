//! The memory that the process has allocated, so that a script that allocates too much can be ended. The program counts
//! it in its allocator; in a process without such an allocator it is not known and counts as 0.

use std::sync::OnceLock;

static COUNTER: OnceLock<fn() -> usize> = OnceLock::new();

/// Sets the function that returns the number of allocated bytes. Later calls are ignored.
pub fn set_counter(allocated_bytes: fn() -> usize) {
    let _ = COUNTER.set(allocated_bytes);
}

/// The number of bytes that the process has allocated and not freed.
pub fn allocated_bytes() -> usize {
    COUNTER.get().map_or(0, |allocated_bytes| allocated_bytes())
}
