//! Exploration of the protocols: every order of small cases, and seeded walks through larger ones.
//!
//! The models here play networks, stores and engines around the real decision cores. Broken
//! variants are made by changing what passes between a model and a core, so the cores carry no
//! switches for tests.

pub mod drive;
pub mod once;
pub mod search;
pub mod switch;

pub use search::explore;
pub use search::walk;
pub use search::Exploration;
pub use search::Model;
