//! Registers this gateway in the store and reads the addresses of the others.

use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::Object;
use bw_direct::peers::PeerAddress;
use bw_kernel::Stop;
use bw_platform::Purpose;
use bw_platform::StoreError;
use log::info;
use log::warn;
use rand::Rng;

use super::sleep_with_jitter;
use super::StoreSync;

/// Kind of the objects by which gateways discover each other.
const GATEWAYS: &str = "gateways";
/// Time between a failed attempt to join and the next one, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay after which a gateway joins again in a new era, so that not all write at one moment.
const REJOIN_DELAY_MAX: Duration = Duration::from_millis(1_000);

impl StoreSync {
    /// Keeps this gateway registered in the store, and reads the addresses of the others, until `stop`: at the
    /// start, and again in each later era of the store, which may have lost both.
    ///
    /// # Errors
    /// None.
    pub async fn join(self, own: PeerAddress, mut stop: Stop) -> Result<(), Infallible> {
        let join = async {
            let mut era = self.join_once(&own).await;
            loop {
                let seen = self.config.later_era(era).await;
                let delay: f64 = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(REJOIN_DELAY_MAX.mul_f64(delay)).await;
                era = self.join_once(&own).await.max(seen);
            }
        };
        tokio::select! {
            () = join => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    /// Registers and reads with retries until both succeed in one era of the store, which it returns.
    ///
    /// Each gateway registers before it reads, so that of two of them, the one that reads later learns of the
    /// other.
    async fn join_once(&self, own: &PeerAddress) -> u64 {
        loop {
            match self.try_join(own).await {
                Ok((registered, read)) if registered == read => {
                    info!("event=joined instance={} era={read}", own.instance);
                    return read;
                }
                Ok((registered, read)) => {
                    warn!("event=join_failed reason=\"era {registered} became {read}\"");
                }
                Err(error) => {
                    warn!("event=join_failed reason=\"{error}\"");
                    sleep_with_jitter(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Registers, then reads the addresses of the others; returns the eras in which that was done.
    async fn try_join(&self, own: &PeerAddress) -> Result<(u64, u64), StoreError> {
        // The others are known, and have their parts of what all may spend, even if this gateway cannot register.
        let registered = self.register(own).await;
        let (list, position) = self.store.list_all(GATEWAYS).await?;
        let now = self.clock.now();
        for object in list {
            match object.content::<PeerAddress>() {
                Ok(address) => self.peers.add(address, now),
                Err(error) => warn!("event=gateway_unreadable reason=\"{error}\""),
            }
        }
        self.peers.record_listed();
        Ok((registered?, position.era()))
    }

    async fn register(&self, own: &PeerAddress) -> Result<u64, StoreError> {
        let object = Object::new(GATEWAYS, &own.instance, 0, own)?;
        self.store.overwrite(Purpose::Write, &object).await
    }
}
