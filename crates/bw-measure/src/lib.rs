//! The focused measurements. Each prints lines `name{label=value,…} value unit`.

pub mod caller;
pub mod commands;
pub mod drift;
pub mod error;
pub mod output;
pub mod stats;

pub use error::MeasureError;
