//! Requests of callers, from the first byte to the last.

pub mod attempt;
pub mod chat;
pub mod context;
pub mod fault;
pub mod once;
pub mod repeatable;
pub mod service;
pub mod sink;
pub mod stream;

pub use context::Services;
pub use fault::Fault;
