//! Clocks. Decisions take the time as an argument; what is safe to rest on which clock stands here.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// Milliseconds since the Unix epoch; 0 when the clock stands before it.
///
/// The time of day jumps: it is for log lines and names of lives, never for ages.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A clock that also counts the time for which the machine was suspended.
///
/// The runtime's clock stands still meanwhile, so ages that safety rests on need this one.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Time since the clock started.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
