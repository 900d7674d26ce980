//! The subcommands of `bwctl`, and queries of the entries' HTTP interface.

mod apply;
mod check;
mod diff;
mod explain;
mod show;
mod status;
mod token;

pub use apply::Apply;
pub use check::Check;
pub use diff::Diff;
pub use explain::Explain;
pub use show::Show;
pub use status::Status;
pub use token::Token;

use std::net::SocketAddr;
use std::time::Duration;

use bw_http::Client;
use bw_model::Fleet;
use serde::Deserialize;
use serde_json::Value;

use crate::error::CtlError;

const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// State of one process as reported by an entry.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessStatus {
    /// Name of the instance.
    pub instance: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Configuration version in force; `None` if the entry has received nothing from the process.
    pub version: Option<u64>,
    /// `live`, `quiet`, `leaving` or `gone`.
    pub health: String,
}

/// State of one endpoint as reported by an entry.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Name of the model or service.
    pub pool: String,
    /// Instance whose agent receives the endpoint's requests.
    pub gate: String,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of running requests; `None` if the entry has received no report.
    pub running: Option<u32>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
}

/// Status reply of an entry.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryStatus {
    /// Configuration version in force at the entry.
    pub version: u64,
    /// Name of the entry's instance.
    pub entry: String,
    /// Number of requests waiting at the entry.
    pub waiting: usize,
    /// Processes of the configuration.
    pub processes: Vec<ProcessStatus>,
    /// Endpoints of the configuration.
    pub endpoints: Vec<EndpointStatus>,
}

/// Returns the address of the given entry, or else of all entries of the fleet.
pub fn entry_addresses(given: Option<SocketAddr>, fleet: Option<&Fleet>) -> Vec<SocketAddr> {
    match (given, fleet) {
        (Some(address), _) => vec![address],
        (None, Some(fleet)) => fleet.entries().map(|(_, _, http)| http).collect(),
        (None, None) => Vec::new(),
    }
}

/// Requests `path` from the entries in order and returns the first successful reply.
///
/// # Errors
/// [`CtlError::NoEntry`] if no entry answers with status 200, or that reply is not JSON.
pub async fn query_entries(addresses: &[SocketAddr], path: &str) -> Result<Value, CtlError> {
    let client = Client::new();
    let mut reason = "no entry address is known".to_string();
    for address in addresses {
        match client.get(&format!("http://{address}{path}"), ENTRY_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => {
                return serde_json::from_slice(&reply.body)
                    .map_err(|error| CtlError::NoEntry(error.to_string()));
            }
            Ok(reply) => reason = format!("{address} answered with status {}", reply.status),
            Err(error) => reason = format!("{address}: {error}"),
        }
    }
    Err(CtlError::NoEntry(reason))
}

/// Requests the status from the entries in order and returns the first successful reply.
///
/// # Errors
/// [`CtlError::NoEntry`] if no entry answers, or the reply is not a status.
pub async fn query_status(addresses: &[SocketAddr]) -> Result<EntryStatus, CtlError> {
    let value = query_entries(addresses, "/admin/status").await?;
    EntryStatus::deserialize(value).map_err(|error| CtlError::NoEntry(error.to_string()))
}
