//! The entry: accepts requests from callers, queues and admits them, routes them to endpoints,
//! retries failed attempts and returns the answers.

pub mod agents;
pub mod claims;
pub mod config;
pub mod decisions;
pub mod error;
pub mod evidence;
pub mod link;
pub mod members;
pub mod planner;
pub mod queue;
pub mod requests;
pub mod routing;
pub mod settings;
pub mod web;

pub use error::EntryError;
pub use settings::Settings;
