//! Settings that may change while the gateway runs.

use std::convert::Infallible;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_conf::IniFile;
use bw_kernel::Stop;
use log::info;
use log::warn;
use tokio::sync::watch;

use crate::error::GatewayError;
use crate::settings::Settings;

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// Part of the time after which a revoked key opens nothing that a proof's age may reach. A request
/// is checked after its caller has sent it, so that the rest only covers rounding.
const PROOF_PART: f64 = 0.97;

/// The settings in force.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    current: Arc<Mutex<Arc<Settings>>>,
}

impl LiveSettings {
    /// Settings to begin with.
    pub fn new(settings: Settings) -> Self {
        Self { current: Arc::new(Mutex::new(Arc::new(settings))) }
    }

    /// The settings in force.
    pub fn get(&self) -> Arc<Settings> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Age of a proof up to which keys are accepted.
    pub fn proof_age_max(&self) -> Duration {
        self.get().revoke.mul_f64(PROOF_PART)
    }

    /// Puts settings into force; what belongs to open sockets stays as it was.
    ///
    /// Returns whether anything asks for a restart.
    pub fn set(&self, next: Settings) -> bool {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
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
            log: current.log.clone(),
            ..next.clone()
        };
        let restart = fixed != next;
        *current = Arc::new(fixed);
        restart
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`GatewayError::Io`] and [`GatewayError::Settings`], with the place of each fault.
pub fn read_settings(path: &Path) -> Result<Settings, GatewayError> {
    parse_settings(path, &read_file(path)?)
}

fn read_file(path: &Path) -> Result<Vec<u8>, GatewayError> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("{}: {error}", path.display()))
    };
    std::fs::read(path).map_err(|error| GatewayError::Io(named(error)))
}

fn parse_settings(path: &Path, bytes: &[u8]) -> Result<Settings, GatewayError> {
    let file = path.display().to_string();
    let ini = IniFile::parse_bytes(&file, bytes)?;
    Ok(Settings::try_from((file.as_str(), &ini))?)
}

/// Follows the settings file: at each signal, and when its content changes.
///
/// # Errors
/// None.
pub async fn follow_file(
    path: PathBuf,
    live: LiveSettings,
    mut signals: watch::Receiver<u64>,
    mut stop: Stop,
) -> Result<(), Infallible> {
    let mut known = read_file(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            changed = signals.changed() => changed.is_ok(),
            () = tokio::time::sleep(LOOK_EVERY) => false,
            () = stop.wait() => return Ok(()),
        };
        let bytes = match read_file(&path) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("event=settings_unread reason=\"{error}\"");
                continue;
            }
        };
        if bytes == known {
            if signalled {
                info!("event=settings_reloaded changed=false");
            }
            continue;
        }
        known = bytes;
        match parse_settings(&path, &known) {
            Ok(settings) => {
                let restart = live.set(settings);
                info!("event=settings_reloaded changed=true needs_restart={restart}");
            }
            Err(error) => warn!("event=settings_refused reason=\"{error}\""),
        }
    }
}
