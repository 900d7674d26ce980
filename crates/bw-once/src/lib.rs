//! Attempts, claims and crash evidence, so that each request is answered once and completely.
//!
//! The modules are state machines without I/O. The entry runs [`flow::Flow`] for requests that may
//! run at most once, and the agent runs [`gate::Gate`] for all requests. Answers are transferred as
//! [`answer::Chunk`]s, which carry their attempt id and offset.

pub mod answer;
pub mod claim;
pub mod evidence;
pub mod flow;
pub mod gate;
pub mod parts;
pub mod shard;

pub use answer::Answer;
pub use answer::Assembler;
pub use answer::Chunk;
pub use answer::End;
pub use answer::Head;
pub use claim::Claim;
pub use evidence::Crash;
pub use evidence::CrashId;
pub use evidence::Evidence;
pub use evidence::Suspicion;
pub use flow::Flow;
pub use gate::Gate;
pub use parts::PartEvidence;
