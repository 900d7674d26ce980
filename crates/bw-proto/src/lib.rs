//! Messages between the processes of the system, and their codec.

pub mod agent;
pub mod codec;
pub mod entry;
pub mod explain;
pub mod view;

pub use agent::AgentReply;
pub use agent::AgentRequest;
pub use agent::Call;
pub use codec::decode;
pub use codec::encode;
pub use codec::CodecError;
pub use entry::EntryReply;
pub use entry::EntryRequest;
pub use view::AgentView;
