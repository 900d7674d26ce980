//! The operators' command line.

pub mod commands;
pub mod error;
pub mod files;

pub use error::CtlError;
