//! Expert maps: protocols that keep all ranks of a group on the same map during a switch, and the
//! policy that chooses maps.

pub mod drive;
pub mod map;
pub mod message;
pub mod policy;
pub mod switch;

pub use map::ExpertMap;
pub use map::Layer;
pub use map::MapError;
pub use message::Ballot;
pub use message::EngineOrder;
pub use message::EngineState;
pub use message::GroupReport;
pub use message::Hold;
pub use message::Message;
pub use message::Order;
pub use message::OrderReply;
pub use message::Reason;
pub use switch::Coordinator;
pub use switch::Rank;
