//! Reads inventory and rules, and opens the platform.

use std::path::PathBuf;

use bw_conf::build_fleet;
use bw_conf::Document;
use bw_conf::Faults;
use bw_conf::IniFile;
use bw_kernel::Metrics;
use bw_model::Fleet;
use bw_model::Version;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Store;

use crate::error::CtlError;

/// Calls a second that a command may make.
const CALL_RATE: f64 = 200.0;
const CALL_BURST: f64 = 400.0;

/// Inventory and rules, checked.
#[derive(Debug)]
pub struct Files {
    /// The sections.
    pub document: Document,
    /// The fleet they describe.
    pub fleet: Fleet,
}

/// Reads and checks files; the faults of all of them are reported together.
///
/// # Errors
/// A file that cannot be read, and every fault found.
pub fn read_files(paths: &[PathBuf]) -> Result<Files, CtlError> {
    if paths.is_empty() {
        return Err(CtlError::Usage("at least one file is needed".to_string()));
    }
    let mut files = Vec::new();
    let mut faults = Faults::default();
    for path in paths {
        let file = path.display().to_string();
        let bytes =
            std::fs::read(path).map_err(|error| CtlError::File { file: file.clone(), error })?;
        match IniFile::parse_bytes(&file, &bytes) {
            Ok(parsed) => files.push(parsed),
            Err(found) => faults.0.extend(found.0),
        }
    }
    faults.check(())?;
    let fleet = build_fleet(Version(0), &files)?;
    Ok(Files { document: Document::from_files(&files), fleet })
}

/// The configuration in the object API at `platform`.
///
/// # Errors
/// [`CtlError::Kernel`].
pub fn open_store(platform: &str) -> Result<ConfigStore, CtlError> {
    let store = Store::new(platform, Budget::new(CALL_RATE, CALL_BURST), &Metrics::default())?;
    Ok(ConfigStore::new(store))
}
