//! One file for each command.

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

const ENTRY_LIMIT: Duration = Duration::from_millis(2_000);

/// State of one process in an entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessStatus {
    /// Instance.
    pub instance: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Version in force; `None` when not heard of.
    pub version: Option<u64>,
    /// `live`, `quiet`, `leaving` or `gone`.
    pub health: String,
}

/// State of one endpoint in an entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointStatus {
    /// Endpoint.
    pub endpoint: String,
    /// Model or service.
    pub pool: String,
    /// Instance of the agent that takes its requests.
    pub gate: String,
    /// Ranks.
    pub ranks: usize,
    /// Requests running; `None` when not heard of.
    pub running: Option<u32>,
    /// Requests that run at a time.
    pub slots: u32,
}

/// An entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryStatus {
    /// Version in force at the entry.
    pub version: u64,
    /// The entry.
    pub entry: String,
    /// Requests waiting there.
    pub waiting: usize,
    /// All processes.
    pub processes: Vec<ProcessStatus>,
    /// All endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// Addresses of entries: the one given, or all of the fleet.
pub fn entry_addresses(given: Option<SocketAddr>, fleet: Option<&Fleet>) -> Vec<SocketAddr> {
    match (given, fleet) {
        (Some(address), _) => vec![address],
        (None, Some(fleet)) => fleet.entries().map(|(_, _, http)| http).collect(),
        (None, None) => Vec::new(),
    }
}

/// Reads `path` from the first entry that answers.
///
/// # Errors
/// [`CtlError::NoEntry`] when none does.
pub async fn ask_entries(addresses: &[SocketAddr], path: &str) -> Result<Value, CtlError> {
    let client = Client::new();
    let mut reason = "no address is known".to_string();
    for address in addresses {
        match client.get(&format!("http://{address}{path}"), ENTRY_LIMIT).await {
            Ok(reply) if reply.status == 200 => {
                return serde_json::from_slice(&reply.body)
                    .map_err(|error| CtlError::NoEntry(error.to_string()));
            }
            Ok(reply) => reason = format!("{address} answered {}", reply.status),
            Err(error) => reason = format!("{address}: {error}"),
        }
    }
    Err(CtlError::NoEntry(reason))
}

/// The status of the first entry that answers.
///
/// # Errors
/// [`CtlError::NoEntry`].
pub async fn ask_status(addresses: &[SocketAddr]) -> Result<EntryStatus, CtlError> {
    let value = ask_entries(addresses, "/admin/status").await?;
    EntryStatus::deserialize(value).map_err(|error| CtlError::NoEntry(error.to_string()))
}
