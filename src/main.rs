//! The program; what it takes on its command line is in [`amberspindle::cli`].

use std::alloc::System;

use cap::Cap;

/// Counts what the process allocates, and sets no limit.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> std::process::ExitCode {
    amberspindle::memory::set_counter(|| ALLOCATOR.allocated());
    amberspindle::cli::main()
}
