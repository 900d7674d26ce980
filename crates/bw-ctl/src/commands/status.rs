//! `bwctl status`: shows the version and health of all processes and the load of all endpoints.
//!
//! ```text
//! $ bwctl status --entry 10.0.0.3:8000
//! version 8 at entry-1, 0 requests waiting
//! process   entry-1    entry  version 8  live
//! endpoint  concierge-a  concierge  running 3/64  gate gpu-01  ranks 8
//! ```

use std::net::SocketAddr;

use argh::FromArgs;

use super::entry_addresses;
use super::query_status;
use super::EntryStatus;
use crate::error::CtlError;
use crate::files::open_store;

/// show versions in force, health and load
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address of an entry
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// address of the object store, to find the entries
    #[argh(option)]
    platform: Option<String>,
}

impl Status {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// No entry answers, or the entries cannot be determined.
    pub async fn run(&self) -> Result<String, CtlError> {
        let addresses = find_entries(self.entry, self.platform.as_deref()).await?;
        Ok(render(&query_status(&addresses).await?))
    }
}

/// Returns the address of the given entry, or else of the entries in the accepted configuration.
///
/// # Errors
/// Neither an entry nor a platform is given, or the accepted configuration cannot be read.
pub async fn find_entries(
    entry: Option<SocketAddr>,
    platform: Option<&str>,
) -> Result<Vec<SocketAddr>, CtlError> {
    match (entry, platform) {
        (Some(_), _) => Ok(entry_addresses(entry, None)),
        (None, Some(platform)) => {
            let store = open_store(platform)?;
            let read = store.head().await?;
            let document = store.document(&read.head).await?;
            let file = document.to_file("accepted configuration");
            let fleet = bw_conf::build_fleet(read.head.version, &[file])?;
            Ok(entry_addresses(None, Some(&fleet)))
        }
        (None, None) => Err(CtlError::Usage("--entry or --platform is required".to_string())),
    }
}

fn render(status: &EntryStatus) -> String {
    let mut lines = vec![format!(
        "version {} at {}, {} requests waiting",
        status.version, status.entry, status.waiting
    )];
    for process in &status.processes {
        let version = process.version.map_or("none".to_string(), |version| version.to_string());
        lines.push(format!(
            "process   {:<16} {:<6} version {version:<5} {}",
            process.instance, process.role, process.health
        ));
    }
    for endpoint in &status.endpoints {
        let running = endpoint.running.map_or("?".to_string(), |running| running.to_string());
        lines.push(format!(
            "endpoint  {:<16} {:<12} running {running}/{}  gate {}  ranks {}",
            endpoint.endpoint, endpoint.pool, endpoint.slots, endpoint.gate, endpoint.ranks
        ));
    }
    lines.join("\n")
}
