//! Measurements of single parts of baobabwind.
//!
//! Each measurement prints lines of the form `name{label=value,...} value unit`.

pub mod caller;
pub mod commands;
pub mod drift;
pub mod error;
pub mod output;
pub mod stats;

pub use error::MeasureError;
