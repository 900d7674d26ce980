//! `bwctl apply`: submits a change and, with `--wait`, waits until it is in force.
//!
//! ```text
//! $ bwctl apply --platform http://10.0.0.2:6443 --wait inventory.ini rules.ini
//! accepted version 8
//! in force at 25 processes after 812 ms
//! ```

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use bw_model::Version;
use bw_platform::config::Applied;
use bw_platform::config::HeadRead;
use bw_platform::ConfigStore;
use tokio::time::sleep;
use tokio::time::Instant;

use super::entry_addresses;
use super::query_status;
use super::ProcessStatus;
use crate::error::CtlError;
use crate::files::open_store;
use crate::files::read_files;
use crate::files::Files;

/// Interval between two status queries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// submit inventory and rules as the next version of the configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// address of the object store
    #[argh(option)]
    platform: String,
    /// version that the files are based on; by default, the accepted version
    #[argh(option)]
    from: Option<u64>,
    /// wait until the version is in force at every live process
    #[argh(switch)]
    wait: bool,
    /// maximum time to wait, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// address of an entry to query; by default, the entries in the files are queried
    #[argh(option)]
    entry: Option<std::net::SocketAddr>,
    /// files of inventory and rules
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Apply {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// Faults in the files, a concurrent change, an unavailable object store, or processes where the
    /// version is not in force in time.
    pub async fn run(&self) -> Result<String, CtlError> {
        let files = read_files(&self.files)?;
        let store = open_store(&self.platform)?;
        let read = store.head().await?;
        let expected = self.from.map_or(read.head.version, Version);
        if expected != read.head.version {
            return Err(conflict(&store, &files, read.head.version).await?);
        }
        let accepted = store.document(&read.head).await?;
        let started = Instant::now();
        // Processes may have a later version in force that a restored store has lost.
        let is_accepted = read.revision != 0 && !read.is_restored();
        let (version, mut output) = if accepted == files.document && is_accepted {
            let version = read.head.version;
            (version, format!("nothing to change; version {version} is accepted"))
        } else {
            let version = self.accept(&store, &files, &read).await?;
            (version, format!("accepted version {version}"))
        };
        if self.wait {
            let count = self.wait_in_force(&files, version).await?;
            let millis = started.elapsed().as_millis();
            output.push_str(&format!("\nin force at {count} processes after {millis} ms"));
        }
        Ok(output)
    }

    async fn accept(
        &self,
        store: &ConfigStore,
        files: &Files,
        read: &HeadRead,
    ) -> Result<Version, CtlError> {
        match store.apply(&files.document, read).await? {
            Applied::Accepted(version) => Ok(version),
            Applied::Superseded(version) => Err(conflict(store, files, version).await?),
        }
    }

    /// Waits until `version` is in force at all live processes; returns at how many it is in force.
    async fn wait_in_force(&self, files: &Files, version: Version) -> Result<usize, CtlError> {
        let addresses = entry_addresses(self.entry, Some(&files.fleet));
        let deadline = Instant::now() + Duration::from_secs(self.seconds);
        loop {
            let status = query_status(&addresses).await;
            let behind = match &status {
                Ok(status) => behind(&status.processes, version),
                Err(error) => vec![error.to_string()],
            };
            if behind.is_empty() {
                let in_force = |process: &&ProcessStatus| process.version >= Some(version.0);
                return Ok(status?.processes.iter().filter(in_force).count());
            }
            if Instant::now() >= deadline {
                return Err(CtlError::Behind { version, instances: behind });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the instances where `version` is not in force, without those that are leaving or gone.
fn behind(processes: &[ProcessStatus], version: Version) -> Vec<String> {
    let expected =
        |process: &ProcessStatus| process.health != "gone" && process.health != "leaving";
    let lagging = |process: &&ProcessStatus| expected(process) && process.version < Some(version.0);
    processes.iter().filter(lagging).map(|process| process.instance.clone()).collect()
}

/// Builds the error for a change that lost against `version`, with the sections that differ.
///
/// # Errors
/// The accepted configuration cannot be read.
async fn conflict(
    store: &ConfigStore,
    files: &Files,
    version: Version,
) -> Result<CtlError, CtlError> {
    let read = store.head().await?;
    let accepted = store.document(&read.head).await?;
    let delta = accepted.delta(version, &files.document, Version(version.0 + 1));
    Ok(CtlError::Conflict { version, diff: delta.summary() })
}
