//! Registers this gateway in the store and reads the addresses of the others.

use std::convert::Infallible;

use bw_adapter::Object;
use bw_direct::peers::PeerAddress;
use bw_kernel::Stop;
use bw_platform::Purpose;
use bw_platform::StoreError;
use log::info;
use log::warn;

use super::sleep_with_jitter;
use super::StoreSync;

/// Kind of the objects by which gateways discover each other.
const GATEWAYS: &str = "gateways";
/// Time between a failed attempt to join and the next one, before jitter.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

impl StoreSync {
    /// Registers this gateway in the store and reads the addresses of the others, with retries
    /// until both succeed; then waits for `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn join(self, own: PeerAddress, mut stop: Stop) -> Result<(), Infallible> {
        let joined = async {
            while let Err(error) = self.try_join(&own).await {
                warn!("event=join_failed reason=\"{error}\"");
                sleep_with_jitter(RETRY_INTERVAL).await;
            }
            info!("event=joined instance={}", own.instance);
        };
        tokio::select! {
            () = joined => stop.wait().await,
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn try_join(&self, own: &PeerAddress) -> Result<(), StoreError> {
        // The others are known, and have their parts of what all may spend, even if this gateway cannot register.
        let registered = self.register(own).await;
        let (list, _) = self.store.list_all(GATEWAYS).await?;
        let now = self.clock.now();
        for object in list {
            match object.content::<PeerAddress>() {
                Ok(address) => self.peers.add(address, now),
                Err(error) => warn!("event=gateway_unreadable reason=\"{error}\""),
            }
        }
        self.peers.record_listed();
        registered
    }

    async fn register(&self, own: &PeerAddress) -> Result<(), StoreError> {
        let object = Object::new(GATEWAYS, &own.instance, 0, own)?;
        match self.store.create(Purpose::Write, &object).await {
            Err(StoreError::Conflict) => self.store.replace(Purpose::Write, &object).await?,
            created => created?,
        };
        Ok(())
    }
}
