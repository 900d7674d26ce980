//! Fake of an engine group whose ranks advance in lock-step.

mod api;
mod cache;
mod chat;
mod group;

pub use api::rank_routes;
pub use chat::token as answer_token;
pub use chat::ChatRequest;
pub use group::Group;
pub use group::GroupSettings;
