//! Model checking of the protocols: exhaustive exploration of small configurations and seeded
//! random walks through larger ones.
//!
//! The models simulate networks, stores and engines around the real decision cores. Faulty variants
//! of a protocol change a model or the calls between the model and a core, so the cores need no
//! test-only options.

pub mod drive;
pub mod once;
pub mod search;
pub mod switch;

pub use search::explore;
pub use search::walk;
pub use search::Exploration;
pub use search::Model;
