//! Request and reply between processes over nng.
//!
//! Every call has its own timeout. A link that stays silent is discarded and opened anew, because
//! a connection can go silent for good while new ones work. nng's own resending is off: a request
//! reaches the other side at most once for each call.

pub mod call;
pub mod client;
pub mod error;
pub mod pool;
pub mod server;

pub use client::Client;
pub use error::LinkError;
pub use pool::Pool;
pub use server::serve;
pub use server::Handler;

/// The largest message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 24 * 1024 * 1024;
