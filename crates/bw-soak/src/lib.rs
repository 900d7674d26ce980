//! A soak of the real programs: gateways, store and endpoints run as processes of their own, faults come
//! from outside them by a seeded schedule, and the promises are checked from what callers and endpoints see.

pub mod check;
pub mod load;
pub mod process;
pub mod proxy;
pub mod recorder;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod stand_ins;
pub mod world;
