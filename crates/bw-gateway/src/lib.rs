//! The gateway, which accepts requests from callers and forwards them to endpoints directly over
//! HTTP.

pub mod app;
pub mod cold_checks;
pub mod config;
pub mod endpoints;
pub mod error;
pub mod explain;
pub mod forward;
pub mod frontend;
pub mod metrics;
pub mod mirror;
pub mod peers;
pub mod placement;
pub mod planner;
pub mod relay;
pub mod reload;
pub mod reply;
pub mod retries;
pub mod service_queue;
pub mod settings;
pub mod suspects;
pub mod sync;
pub mod waiting;
pub mod web;

pub use error::GatewayError;
pub use settings::Settings;
