//! The agent: the one gate to the engine or service of its instance.
//!
//! Nothing runs behind an agent, and no order is obeyed there, except through it.

pub mod attempts;
pub mod beat;
pub mod drain;
pub mod engine;
pub mod error;
pub mod experts;
pub mod link;
pub mod runner;
pub mod settings;
pub mod view;
pub mod web;

pub use error::AgentError;
pub use settings::Settings;
