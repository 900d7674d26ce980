//! Clocks, and which of them is safe for which purpose.
//!
//! Decision code takes the time as an argument and reads no clock itself.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// Returns the milliseconds since the Unix epoch, or 0 when the clock is set before it.
///
/// Wall-clock time can jump. Use it for log lines and incarnation numbers, never to compute ages.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A monotonic clock that keeps counting while the machine is suspended.
///
/// The runtime's clock stops during a suspend, so ages that safety depends on must use this clock.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Returns a clock whose time zero is now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since [`BootClock::start`].
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
