//! Small fakes of the external systems, for tests and the demo only.

pub mod control;
pub mod endpoint;
pub mod engine;
pub mod objects;
pub mod platform;
pub mod process;
pub mod service;
pub mod settings;
pub mod weights;

pub use settings::Settings;
