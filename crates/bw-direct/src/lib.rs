//! Decisions for endpoints that are reached over HTTP directly, without I/O.
//!
//! Times are spans since the process started, counted through suspensions.

pub mod attempts;
pub mod budget;
pub mod catalog;
pub mod endpoint;
pub mod events;
pub mod health;
pub mod load;
pub mod patience;
pub mod peers;
pub mod place;
pub mod relay;
pub mod request;
pub mod steps;

pub use catalog::Catalog;
