//! Reads inventory and rules from files, and opens the accepted configuration.

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

/// Maximum sustained rate of object store calls, per second.
const CALL_RATE: f64 = 200.0;
/// Maximum number of object store calls in a burst.
const CALL_BURST: f64 = 400.0;

/// Validated inventory and rules.
#[derive(Debug)]
pub struct Files {
    /// Sections of all files.
    pub document: Document,
    /// Fleet that the sections describe, at version 0.
    pub fleet: Fleet,
}

/// Reads and validates inventory and rules.
///
/// # Errors
/// An empty list of files, an unreadable file, or the faults of all files together.
pub fn read_files(paths: &[PathBuf]) -> Result<Files, CtlError> {
    if paths.is_empty() {
        return Err(CtlError::Usage("no file given; at least one is required".to_string()));
    }
    let mut files = Vec::new();
    let mut faults = Faults::default();
    for path in paths {
        let file = path.display().to_string();
        let bytes =
            std::fs::read(path).map_err(|error| CtlError::File { file: file.clone(), error })?;
        match IniFile::parse_bytes(&file, &bytes) {
            Ok(parsed) => files.push(parsed),
            Err(errors) => faults.0.extend(errors.0),
        }
    }
    faults.check(())?;
    let fleet = build_fleet(Version(0), &files)?;
    Ok(Files { document: Document::from_files(&files), fleet })
}

/// Opens the accepted configuration in the object store at `platform`.
///
/// # Errors
/// [`CtlError::Kernel`] if the client of the object store cannot be created.
pub fn open_store(platform: &str) -> Result<ConfigStore, CtlError> {
    let store = Store::new(platform, Budget::new(CALL_RATE, CALL_BURST), &Metrics::default())?;
    Ok(ConfigStore::new(store))
}
