//! Fuzz targets for what the broker reads from others: see `tests/`. `cargo test` runs each briefly from a fixed
//! seed; a coverage-guided fuzzer can run them for as long as it is let.
#![forbid(unsafe_code)]
