//! Routing, health and retry decisions for endpoints that are reached directly over HTTP, without
//! I/O.
//!
//! Points in time are `Duration`s since the process started, on a clock that keeps counting while
//! the machine is suspended.

pub mod attempts;
pub mod budget;
pub mod candidates;
pub mod catalog;
pub mod centre_news;
pub mod centre_plan;
pub mod cold;
pub mod continuity;
pub mod eligibility;
pub mod endpoint;
pub mod evacuation;
pub mod evacuations;
pub mod events;
pub mod health;
pub mod homes;
pub mod limits;
pub mod load;
pub mod notices;
pub mod outage;
pub mod part_news;
pub mod peers;
pub mod place;
pub mod relay;
pub mod reports;
pub mod request;
pub mod returns;
pub mod room;
pub mod steps;
pub mod urgency;
pub mod wait_limits;
pub mod waiting;

pub use catalog::Catalog;
