//! The product's use of the platform's object store: call budget, claims and configuration.
//!
//! Each call is counted and limited by purpose; names and formats are those of `bw-adapter`.

pub mod budget;
pub mod claims;
pub mod config;
pub mod error;
pub mod store;

pub use budget::Budget;
pub use budget::Purpose;
pub use bw_adapter::Object;
pub use config::ConfigStore;
pub use error::StoreError;
pub use store::Store;
