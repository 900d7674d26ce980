//! Commands of `bwctl`, the command-line tool for operators.

pub mod commands;
pub mod error;
pub mod files;

pub use error::CtlError;
