//! Limits on one call of a script, checked at each operation, also in what a built-in function calls back.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

use super::script::MAX_ENTRIES;
use crate::memory::allocated_bytes;

/// The processor time that one call may take. Usual scripts take microseconds.
const MAX_CALL_TIME: Duration = Duration::from_millis(50);
/// The share of the process's memory that one call may allocate.
const CALL_MEMORY_DIVISOR: usize = 16;
/// The most levels of lists and maps in one value without closures: the entries of all levels together count against
/// [`MAX_ENTRIES`], for lists and for maps.
const MAX_CONTAINER_LEVELS: usize = 2 * MAX_ENTRIES;
/// A level of nested values takes at least this much memory.
const MIN_LEVEL_BYTES: usize = 64;
/// More stack than any walk over nested values needs for one level. Code without optimization needs more.
const STACK_BYTES_PER_LEVEL: usize = if cfg!(debug_assertions) { 2048 } else { 512 };

/// What one call of a script may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The number of operations.
    pub operations: u64,
    /// The processor time.
    pub time: Duration,
    /// The memory that it may allocate, in bytes.
    pub memory_bytes: usize,
}

impl CallLimits {
    /// Returns the limits for a process that may use `process_memory_bytes`.
    pub fn new(operations: u64, process_memory_bytes: usize) -> CallLimits {
        let memory_bytes = process_memory_bytes / CALL_MEMORY_DIVISOR;
        CallLimits { operations, time: MAX_CALL_TIME, memory_bytes }
    }

    /// The stack that a thread needs for a call. The engine walks over nested values by recursion, and closures nest as
    /// deep as a call gets: each level takes an operation to make, and memory. The system gives a thread only as much of
    /// its stack as it has used.
    pub fn stack_bytes(&self) -> usize {
        let by_operations = usize::try_from(self.operations).unwrap_or(usize::MAX);
        let closure_levels = by_operations.min(self.memory_bytes / MIN_LEVEL_BYTES);
        closure_levels.saturating_add(MAX_CONTAINER_LEVELS).saturating_mul(STACK_BYTES_PER_LEVEL)
    }
}

/// Measures what the current call of a script uses.
pub(super) struct CallMeter {
    limits: CallLimits,
    began_at: Cell<Instant>,
    thread_time_at_start: Cell<Duration>,
    allocated_at_start: Cell<usize>,
}

impl CallMeter {
    /// Creates a meter whose first call begins now.
    pub(super) fn new(limits: CallLimits) -> CallMeter {
        CallMeter {
            limits,
            began_at: Cell::new(Instant::now()),
            thread_time_at_start: Cell::new(thread_time()),
            allocated_at_start: Cell::new(allocated_bytes()),
        }
    }

    /// Begins a call.
    pub(super) fn begin(&self) {
        self.began_at.set(Instant::now());
        self.thread_time_at_start.set(thread_time());
        self.allocated_at_start.set(allocated_bytes());
    }

    /// Returns the limit that the call exceeds, if there is one.
    pub(super) fn exceeded(&self) -> Option<&'static str> {
        let allocated = allocated_bytes().saturating_sub(self.allocated_at_start.get());
        if allocated > self.limits.memory_bytes {
            return Some("a call takes too much memory");
        }
        // The clock of the thread costs a system call. It shows less than the wall clock while other threads run.
        let may_be_late = self.began_at.get().elapsed() > self.limits.time;
        if may_be_late && thread_time().saturating_sub(self.thread_time_at_start.get()) > self.limits.time {
            return Some("a call takes too long");
        }
        None
    }
}

/// Returns the processor time that this thread has used.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
