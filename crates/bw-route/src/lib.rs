//! Routing, admission, fairness, ejection and retry budgets, without I/O.
//!
//! Timestamps are durations since the start of the process; the caller passes them in, read from
//! the runtime's clock.

pub mod admission;
pub mod budget;
pub mod eject;
pub mod kinds;
pub mod load;
pub mod prefix;
pub mod router;

pub use admission::Admission;
pub use admission::Offer;
pub use budget::RetryBudget;
pub use kinds::Kinds;
pub use router::Choice;
pub use router::Query;
pub use router::Router;
