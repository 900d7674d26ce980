//! `bwctl apply`: has a change accepted, and waits until it is in force if asked to.
//!
//! ```text
//! $ bwctl apply --platform http://10.0.0.2:6443 --wait inventory.ini rules.ini
//! accepted version 8
//! in force at 25 of 25 processes after 812 ms
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

use super::ask_status;
use super::entry_addresses;
use super::ProcessStatus;
use crate::error::CtlError;
use crate::files::open_store;
use crate::files::read_files;
use crate::files::Files;

const POLL: Duration = Duration::from_millis(100);

/// have inventory and rules accepted as the next version
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// address of the object API
    #[argh(option)]
    platform: String,
    /// version that the files were made from; without it, the accepted one
    #[argh(option)]
    from: Option<u64>,
    /// wait until every live process has put the version in force
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// address of an entry to ask; without it, those of the files
    #[argh(option)]
    entry: Option<std::net::SocketAddr>,
    /// files of inventory and rules
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Apply {
    /// Runs the command and returns its output.
    ///
    /// # Errors
    /// Faults of the files, a race, an unavailable platform, processes that are behind.
    pub async fn run(&self) -> Result<String, CtlError> {
        let files = read_files(&self.files)?;
        let store = open_store(&self.platform)?;
        let read = store.head().await?;
        let expected = self.from.map_or(read.head.version, Version);
        if expected != read.head.version {
            return Err(raced(&store, &files, read.head.version).await?);
        }
        let accepted = store.document(&read.head).await?;
        let started = Instant::now();
        let (version, mut output) = if accepted == files.document && read.revision != 0 {
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
            Applied::Superseded(version) => Err(raced(store, files, version).await?),
        }
    }

    /// Waits until all live processes have the version; returns how many have.
    async fn wait_in_force(&self, files: &Files, version: Version) -> Result<usize, CtlError> {
        let addresses = entry_addresses(self.entry, Some(&files.fleet));
        let deadline = Instant::now() + Duration::from_secs(self.seconds);
        loop {
            let status = ask_status(&addresses).await;
            let behind = match &status {
                Ok(status) => behind(&status.processes, version),
                Err(error) => vec![error.to_string()],
            };
            if behind.is_empty() {
                let has = |one: &&ProcessStatus| one.version >= Some(version.0);
                return Ok(status?.processes.iter().filter(has).count());
            }
            if Instant::now() >= deadline {
                return Err(CtlError::Behind { version, instances: behind });
            }
            sleep(POLL).await;
        }
    }
}

/// Processes that do not have the version yet, those that left or are not heard of apart.
fn behind(processes: &[ProcessStatus], version: Version) -> Vec<String> {
    let counted = |one: &ProcessStatus| one.health != "gone" && one.health != "leaving";
    let late = |one: &&ProcessStatus| counted(one) && one.version < Some(version.0);
    processes.iter().filter(late).map(|one| one.instance.clone()).collect()
}

/// The error of a lost race, with what the winner changed.
async fn raced(store: &ConfigStore, files: &Files, version: Version) -> Result<CtlError, CtlError> {
    let read = store.head().await?;
    let accepted = store.document(&read.head).await?;
    let delta = accepted.delta(version, &files.document, Version(version.0 + 1));
    Ok(CtlError::Raced { version, diff: delta.summary() })
}
