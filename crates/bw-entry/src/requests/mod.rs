//! Handling of callers' requests, from the request head to the end of the answer.

pub mod attempt;
pub mod chat;
pub mod context;
pub mod fault;
pub mod identity;
pub mod once;
pub mod repeatable;
pub mod service;
pub mod sink;
pub mod stream;

pub use context::Services;
pub use fault::Fault;
