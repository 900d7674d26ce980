//! Leaves gracefully: takes nothing new and waits for what is in flight.

use std::convert::Infallible;
use std::time::Duration;

use bw_kernel::Stop;
use log::info;
use tokio::time::sleep;

use crate::attempts::Attempts;
use crate::beat::Crashes;

const POLL: Duration = Duration::from_millis(20);

/// Waits for `stop`, then leaves. The service that starts last stops first, so links, heartbeats
/// and answers go on until this returns.
///
/// # Errors
/// None.
pub async fn run(attempts: Attempts, crashes: Crashes, mut stop: Stop) -> Result<(), Infallible> {
    stop.wait().await;
    attempts.leave();
    crashes.hurry();
    info!("event=leaving in_flight={}", attempts.unfinished());
    while attempts.unfinished() > 0 {
        sleep(POLL).await;
    }
    info!("event=drained");
    Ok(())
}
