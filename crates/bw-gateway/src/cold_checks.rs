//! Asks endpoints whether they are cold while the store cannot tell.

use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::requests::decode_cold;
use bw_direct::outage::OUTAGE_MIN;
use bw_direct::peers::news_interval;
use bw_http::Client;
use bw_kernel::BootClock;
use bw_kernel::Stop;
use futures::future::join_all;
use log::info;

use crate::config::Config;
use crate::endpoints::cold::ColdCheck;
use crate::endpoints::Endpoints;
use crate::peers::SharedPeers;

/// Time without an answer of the store, beyond the longest wait of a watch, after which endpoints are asked.
const SILENCE_MARGIN: Duration = Duration::from_millis(250);
/// Time between two checks of an endpoint by one gateway.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for an endpoint's answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two looks at a configuration without cold endpoints.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Service that asks endpoints for their health while the store answers no gateway. While it does, the entries of the
/// endpoints tell when they are cold, and nothing is asked.
pub struct ColdChecks {
    /// Configuration, which names the paths of health checks.
    pub config: Config,
    /// Endpoints, with the answers of the store.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: SharedPeers,
    /// Clock of the process.
    pub clock: BootClock,
}

impl ColdChecks {
    /// Asks endpoints until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        tokio::select! {
            () = self.check_on() => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn check_on(&self) {
        let client = Client::new();
        let mut checking = false;
        loop {
            let wait = self.time_to_check();
            if checking != wait.is_zero() {
                checking = wait.is_zero();
                info!("event=cold_checks running={checking}");
            }
            if checking {
                self.check_all(&client).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else {
                tokio::time::sleep(wait).await;
            }
        }
    }

    /// Returns the time until endpoints have to be asked if the store stays silent; zero for now.
    fn time_to_check(&self) -> Duration {
        if !self.endpoints.has_cold_rules() {
            return IDLE_INTERVAL;
        }
        let now = self.clock.now();
        let round = news_interval(self.peers.live_count(now));
        // A watch waits for at most half of the shortest outage, and news tell of its answers.
        let usual = OUTAGE_MIN / 2 + round + SILENCE_MARGIN;
        self.endpoints.store_silence(now).map_or(usual, |silence| usual.saturating_sub(silence))
    }

    async fn check_all(&self, client: &Client) {
        let Some(catalog) = self.config.current() else { return };
        let now = self.clock.now();
        let (position, count) = self.peers.position(now);
        let checks = self.endpoints.cold_checks(position, count, now);
        let calls = checks.iter().filter_map(|check| {
            let path = &catalog.service(&check.service)?.health;
            Some(self.check(client, check, format!("http://{}{path}", check.address)))
        });
        if join_all(calls).await.into_iter().any(|cold| cold) {
            self.peers.announce();
        }
    }

    /// Asks one endpoint; returns whether it is cold.
    async fn check(&self, client: &Client, check: &ColdCheck, url: String) -> bool {
        let Ok(reply) = client.get(&url, CHECK_TIMEOUT).await else { return false };
        match decode_cold(&reply.headers, &check.name) {
            Some(remaining) if !remaining.is_zero() => {
                self.endpoints.record_cold(check.key, remaining, self.clock.now());
                true
            }
            _ => false,
        }
    }
}
