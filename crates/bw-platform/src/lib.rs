//! Client of the platform's object API.
//!
//! Objects follow the conventions of the Kubernetes API: a resource version on each object,
//! conditional updates that answer 409, and watches. Each call is counted and limited by purpose.

pub mod budget;
pub mod claims;
pub mod config;
pub mod error;
pub mod object;
pub mod store;

pub use budget::Budget;
pub use budget::Purpose;
pub use config::ConfigStore;
pub use error::StoreError;
pub use object::Object;
pub use store::Store;
