//! The agent: the only access to the engine or service of its instance.
//!
//! Every request and every expert-map order reaches the engine or service through its agent.

pub mod attempts;
pub mod drain;
pub mod engine;
pub mod error;
pub mod experts;
pub mod heartbeat;
pub mod link;
pub mod runner;
pub mod settings;
pub mod view;
pub mod web;

pub use error::AgentError;
pub use settings::Settings;
