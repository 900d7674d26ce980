//! Settings that may change while the gateway runs.

use std::convert::Infallible;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bw_conf::settings::parse_settings;
use bw_kernel::live;
use bw_kernel::live::Live;
use bw_kernel::Stop;
use tokio::sync::watch;

use crate::error::GatewayError;
use crate::settings::Settings;

/// Maximum age of a proof as a fraction of the time after which a revoked key must be rejected. A
/// request is checked after its caller has sent it, so the remaining time only covers rounding.
const PROOF_AGE_FRACTION: f64 = 0.97;

/// Longest time for which a newer configuration may be known without being in force, as a fraction of
/// the time within which a configuration has to be in force. The rest covers the time until a peer's news
/// of it arrive.
const BEHIND_FRACTION: f64 = 0.7;

/// The settings in force, shared by the services of the gateway.
#[derive(Clone, Debug)]
pub struct LiveSettings(Live<Settings>);

impl LiveSettings {
    /// Creates the shared settings with their initial value.
    pub fn new(settings: Settings) -> Self {
        Self(Live::new(settings))
    }

    /// Returns the settings in force.
    pub fn get(&self) -> Arc<Settings> {
        self.0.get()
    }

    /// Returns the maximum age of a proof with which keys are accepted.
    pub fn proof_age_max(&self) -> Duration {
        self.get().revoke.mul_f64(PROOF_AGE_FRACTION)
    }

    /// Returns the longest time for which a newer configuration may be known without being in force.
    pub fn behind_max(&self) -> Duration {
        self.get().apply.mul_f64(BEHIND_FRACTION)
    }

    /// Puts settings into force, except the identity of the gateway, the addresses of open sockets,
    /// the address and call rate of the store, what only the start uses of the instance's size, and the log
    /// filter, which stay as they were at the start.
    ///
    /// Returns whether one of these exceptions has changed, so that a restart is required.
    pub fn set(&self, next: &Settings) -> bool {
        let mut restart = false;
        self.0.update(|current| {
            let fixed = Settings {
                instance: current.instance.clone(),
                centre: current.centre.clone(),
                region: current.region.clone(),
                callers: current.callers,
                ready: current.ready,
                metrics: current.metrics,
                directory: current.directory,
                news: current.news,
                platform: current.platform.clone(),
                rate: current.rate,
                seeds: current.seeds.clone(),
                memory: current.memory,
                descriptors: current.descriptors,
                linger: current.linger,
                link: current.link,
                share: current.share,
                log: current.log.clone(),
                ..next.clone()
            };
            restart = fixed != *next;
            fixed
        });
        restart
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`GatewayError::Io`] and [`GatewayError::Settings`], with the position of each fault.
pub fn read_settings(path: &Path) -> Result<Settings, GatewayError> {
    Ok(parse_settings(path, &live::read_file(path).map_err(GatewayError::Io)?)?)
}

/// Reloads the settings file at each signal and when its content changes, until `stop`.
///
/// # Errors
/// None.
pub async fn follow_file(
    path: PathBuf,
    live: LiveSettings,
    signals: watch::Receiver<u64>,
    stop: Stop,
) -> Result<(), Infallible> {
    let apply = move |next: &Settings| live.set(next);
    live::follow_file(path, parse_settings, apply, signals, stop).await
}
