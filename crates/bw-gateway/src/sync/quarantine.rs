//! Keeps quarantines in the store, so that they outlive the gateways.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_platform::Quarantine;
use bw_platform::Quarantines;
use bw_platform::StoreError;
use log::info;
use log::warn;
use rand::Rng;
use tokio::time::Instant;

use super::sleep_with_jitter;
use crate::config::Config;
use crate::peers::SharedPeers;
use crate::suspects::Suspects;

/// Time between a failed call and its retry, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay of a write. All gateways learn of a quarantine at about the same time, and the first
/// one to write it tells the others.
const WRITE_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Wait for the end of a quarantine while there is none.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Service that reads the quarantines when the gateway starts, writes new ones, writes all again when the store
/// has returned from an older copy, and deletes those that have ended.
///
/// The quarantine of a request is written by the gateways that have seen its last crash, and otherwise by the
/// first few in the order of candidates for the planning duty: news do not tell whether the store has it.
pub struct QuarantineKeeper {
    /// Quarantines in the store.
    pub store: Quarantines,
    /// Evidence with the quarantines.
    pub suspects: Suspects,
    /// Configuration, with the era of the store.
    pub config: Config,
    /// The other gateways.
    pub peers: SharedPeers,
    /// Clock of the process.
    pub clock: BootClock,
}

impl QuarantineKeeper {
    /// Keeps the quarantines in the store until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        tokio::select! {
            () = self.keep() => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn keep(&self) {
        let mut era = self.read().await;
        // Time of the next write of what others may write as well.
        let mut write_at: Option<Instant> = None;
        loop {
            self.write(self.suspects.urgent()).await;
            let expiry = self.suspects.next_expiry().unwrap_or(IDLE_WAIT);
            let wake_at = write_at.unwrap_or_else(|| Instant::now() + expiry);
            tokio::select! {
                () = self.suspects.quarantines_changed() => {
                    write_at.get_or_insert_with(draw_write_time);
                }
                next = self.config.later_era(era) => {
                    era = next;
                    self.suspects.forget_stored();
                    write_at.get_or_insert_with(draw_write_time);
                    info!("event=quarantines_rewritten era={era}");
                }
                () = tokio::time::sleep_until(wake_at) => {
                    write_at = None;
                    let watches = self.peers.is_watcher(self.clock.now());
                    self.write(self.suspects.unstored(watches)).await;
                    self.delete_ended().await;
                }
            }
        }
    }

    /// Reads the quarantines, and returns the era of the store in which they were read.
    async fn read(&self) -> u64 {
        loop {
            match self.store.list().await {
                Ok((list, position)) => {
                    list.iter().for_each(|quarantine| self.suspects.restore(quarantine));
                    return position.era();
                }
                Err(error) => warn!("event=quarantine_not_read reason=\"{error}\""),
            }
            sleep_with_jitter(RETRY_INTERVAL).await;
        }
    }

    async fn write(&self, quarantines: Vec<Quarantine>) {
        for quarantine in quarantines {
            retry("written", || self.store.write(&quarantine)).await;
            self.suspects.record_stored(quarantine.subject());
        }
    }

    async fn delete_ended(&self) {
        for subject in self.suspects.take_ended() {
            retry("deleted", || self.store.delete(subject)).await;
        }
    }
}

fn draw_write_time() -> Instant {
    let delay: f64 = rand::rng().random_range(0.0..1.0);
    Instant::now() + WRITE_DELAY_MAX.mul_f64(delay)
}

/// Repeats a call until it succeeds.
async fn retry<C, F>(what: &str, call: C)
where
    C: Fn() -> F,
    F: Future<Output = Result<(), StoreError>>,
{
    while let Err(error) = call().await {
        warn!("event=quarantine_not_{what} reason=\"{error}\"");
        sleep_with_jitter(RETRY_INTERVAL).await;
    }
}
