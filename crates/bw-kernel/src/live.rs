//! Settings that change while a process runs.

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

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Settings in force, shared by all who use them.
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
    /// Settings to begin with.
    pub fn new(settings: T) -> Self {
        Self { current: Arc::new(Mutex::new(Arc::new(settings))) }
    }

    /// The settings in force.
    pub fn get(&self) -> Arc<T> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts what `merge` makes of the settings in force into force.
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
/// What the system says, with the file's name.
pub fn read_file(path: &Path) -> std::io::Result<Vec<u8>> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("{}: {error}", path.display()))
    };
    std::fs::read(path).map_err(named)
}

/// Follows a settings file: at each signal, and when its content changes.
///
/// `parse` checks new content, and `apply` puts it into force and tells whether anything asks for a
/// restart. Refused content changes nothing.
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
    // Content that cannot be read now is taken as a change once it can be.
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
        match parse(&path, &known) {
            Ok(next) => {
                let restart = apply(&next);
                info!("event=settings_reloaded changed=true needs_restart={restart}");
            }
            Err(error) => warn!("event=settings_refused reason=\"{error}\""),
        }
    }
}
