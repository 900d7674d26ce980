//! HTTP for all processes: a server with graceful shutdown, body reading with limits, and clients.

pub mod body;
pub mod channel;
pub mod client;
pub mod compress;
pub mod head_guard;
mod meter;
pub mod reply;
pub mod server;

pub use body::read_body;
pub use body::BodyError;
pub use channel::Channel;
pub use channel::ChannelBody;
pub use channel::ChannelError;
pub use channel::Liveness;
pub use client::Client;
pub use client::ClientError;
pub use client::Reply;
pub use head_guard::BusyToken;
pub use head_guard::HeadGuard;
pub use reply::compressed_json_reply;
pub use reply::json_reply;
pub use reply::text_reply;
pub use server::bind;
pub use server::serve;
