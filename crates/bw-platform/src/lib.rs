//! Client of the platform's object store: call budget, idempotency claims and configuration.
//!
//! Calls are counted and rate-limited by purpose. Wire names and formats are those of `bw-adapter`.

pub mod budget;
pub mod claims;
pub mod config;
pub mod error;
pub mod leases;
pub mod quarantines;
pub mod store;

pub use budget::Budget;
pub use budget::Purpose;
pub use bw_adapter::Object;
pub use config::ConfigStore;
pub use error::StoreError;
pub use leases::LeaseObject;
pub use quarantines::Quarantine;
pub use quarantines::Quarantines;
pub use quarantines::Subject;
pub use store::Store;
