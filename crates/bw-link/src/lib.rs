//! Request-reply messaging between processes over nng.
//!
//! Every call has its own timeout. A link on which a call fails is discarded and reopened by the
//! next call, because a connection can stop responding permanently while new ones work. nng's own
//! resending is off: each call delivers its request to the server at most once.

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

/// Largest message that either side accepts, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 24 * 1024 * 1024;
