//! Settings that are reloaded while a process runs.

use std::convert::Infallible;
use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;

use crate::kernel::Stop;

/// Interval at which the settings file is checked; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The current settings, shared by all of their users.
///
/// Clones refer to the same settings: an update through one is visible through all.
#[derive(Debug)]
pub struct Live<T> {
    current: Arc<Mutex<Arc<T>>>,
}

impl<T> Clone for Live<T> {
    fn clone(&self) -> Self {
        Self { current: self.current.clone() }
    }
}

impl<T> Live<T> {
    /// Creates a handle with initial settings.
    pub fn new(settings: T) -> Self {
        Self { current: Arc::new(Mutex::new(Arc::new(settings))) }
    }

    /// Returns the current settings.
    pub fn get(&self) -> Arc<T> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current settings by the result of `merge`, which gets the current ones.
    pub fn update<F>(&self, merge: F)
    where
        F: FnOnce(&T) -> T,
    {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(merge(&current));
    }
}

/// Reads a settings file.
///
/// # Errors
/// The operating system's error, prefixed with the path.
pub fn read_file(path: &Path) -> std::io::Result<Vec<u8>> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("{}: {error}", path.display()))
    };
    std::fs::read(path).map_err(named)
}

/// Reloads a settings file when a signal requests it and when its content changes, until `stop`.
///
/// `parse` validates new content. `apply` puts it into effect and returns whether any change needs
/// a restart of the process. Content that `parse` rejects changes nothing.
///
/// # Errors
/// None.
pub async fn follow_file<T, E, P, F>(
    path: PathBuf,
    parse: P,
    mut apply: F,
    mut signals: watch::Receiver<u64>,
    mut stop: Stop,
) -> Result<(), Infallible>
where
    P: Fn(&Path, &[u8]) -> Result<T, E>,
    F: FnMut(&T) -> bool,
    E: Display,
{
    // A file that cannot be read now counts as changed once it can be read.
    let mut previous = read_file(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            changed = signals.changed() => changed.is_ok(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
            () = stop.wait() => return Ok(()),
        };
        let bytes = match read_file(&path) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("event=settings_unread reason=\"{error}\"");
                continue;
            }
        };
        if bytes == previous {
            if signalled {
                info!("event=settings_reloaded changed=false");
            }
            continue;
        }
        previous = bytes;
        match parse(&path, &previous) {
            Ok(next) => {
                let restart = apply(&next);
                info!("event=settings_reloaded changed=true needs_restart={restart}");
            }
            Err(error) => warn!("event=settings_refused reason=\"{error}\""),
        }
    }
}
