//! Graceful shutdown: rejects new attempts and waits for those in flight.

use std::convert::Infallible;
use std::time::Duration;

use bw_kernel::Stop;
use log::info;
use tokio::time::sleep;

use crate::attempts::Attempts;
use crate::heartbeat::Crashes;

/// Time between two checks for unfinished attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for `stop`, then marks the endpoint as leaving and returns once no attempt is unfinished.
///
/// The kernel stops services in reverse order of their start and this one starts last, so links and
/// heartbeats keep working and answers can be read until this function returns.
///
/// # Errors
/// None.
pub async fn run(attempts: Attempts, crashes: Crashes, mut stop: Stop) -> Result<(), Infallible> {
    stop.wait().await;
    attempts.leave();
    crashes.wake();
    info!("event=leaving in_flight={}", attempts.unfinished());
    while attempts.unfinished() > 0 {
        sleep(POLL_INTERVAL).await;
    }
    info!("event=drained");
    Ok(())
}
