//! Reads the logs of many brokers that were started with `--trace`, and answers what no one of them shows: where a
//! request went, how work falls on servers, and what was known when it was decided.
//!
//! [`read`] takes lines from files, [`fold`] counts in bounded memory, [`spread`] measures evenness, [`follow`]
//! collects one session, [`table`] and [`page`] show it. Only `read` and the program touch files.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counts;
pub mod fold;
pub mod follow;
pub mod page;
pub mod read;
pub mod spread;
pub mod table;
