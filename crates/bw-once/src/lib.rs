//! Attempts, claims and evidence: each request is answered once and whole.
//!
//! Everything here is a state machine without I/O. The entry drives [`flow::Flow`] for requests
//! that may run at most once, the agent drives [`gate::Gate`] for all requests, and answers travel
//! as [`answer::Chunk`]s that carry their attempt and offset.

pub mod answer;
pub mod claim;
pub mod evidence;
pub mod flow;
pub mod gate;
pub mod shard;

pub use answer::Answer;
pub use answer::Assembler;
pub use answer::Chunk;
pub use answer::End;
pub use answer::Head;
pub use claim::Claim;
pub use evidence::Crash;
pub use evidence::Evidence;
pub use evidence::Standing as Suspicion;
pub use flow::Flow;
pub use gate::Gate;
