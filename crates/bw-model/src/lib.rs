//! Validated types shared by all layers: names, identifiers, arenas and the fleet.
//!
//! Values of these types are valid by construction; `TryFrom` converts raw input.

pub mod arena;
pub mod fleet;
pub mod hash;
pub mod ids;
pub mod name;
pub mod span;

pub use arena::Arena;
pub use arena::Key;
pub use fleet::Fleet;
pub use ids::AttemptId;
pub use ids::Fence;
pub use ids::Incarnation;
pub use ids::KeyHash;
pub use ids::MapVersion;
pub use ids::Position;
pub use ids::Version;
pub use name::Name;
pub use name::NameError;
