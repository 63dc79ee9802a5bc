//! Trials: several processes of the program on one machine, with faults between them, judged by checkers that know
//! nothing of the program's code: they read logs and files.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod herd;
pub mod history;
pub mod kept;
pub mod linear;
pub mod measure;
pub mod process;
pub mod relay;
pub mod run;
pub mod scenario;
pub mod soak;
pub mod viewers;
