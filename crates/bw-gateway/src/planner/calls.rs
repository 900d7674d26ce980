//! Calls to ranks, and the events that they end with.

use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::engines;
use bw_adapter::ObjectError;
use bw_expert::drive::CommandOutcome;
use bw_expert::drive::RankCommand;
use bw_expert::policy::maps::MapPlan;
use bw_http::Client;
use bytes::Bytes;
use hyper::Method;
use log::warn;
use tokio::time::Instant;

/// Time limit for a rank's answer to a read.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of a call to a rank or of the computation of a plan, with the name of the group.
pub enum Event {
    /// The outcome of a command, and the time that it took.
    Answered(String, RankCommand, CommandOutcome, Duration),
    /// The report of a rank, `None` if the read failed, and the time of the request.
    Reported(String, u16, Option<engines::RankReport>, Duration),
    /// The counts of a rank; `None` if the read failed.
    Counted(String, u16, Option<engines::ExpertCounts>),
    /// The experts that a rank holds; `None` if the read failed.
    HeldExperts(String, u16, Option<engines::HeldExperts>),
    /// A planned map.
    Planned(String, MapPlan),
}

/// The endpoint that a command is meant for.
pub struct Recipient {
    /// Name of the endpoint.
    pub name: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// A pending call to a rank, or the computation of a plan.
pub type Call = futures::future::BoxFuture<'static, Event>;

/// Reads a rank's report.
pub async fn read_report(
    client: Client,
    group: String,
    rank: u16,
    address: SocketAddr,
    asked_at: Duration,
) -> Event {
    let decode = |body: &[u8]| engines::decode_report_of(&group, rank, body);
    let report = read(&client, address, engines::REPORT_PATH, decode).await;
    Event::Reported(group, rank, report, asked_at)
}

/// Reads a rank's counts.
pub async fn read_counts(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let counts = read(&client, address, engines::COUNTS_PATH, engines::decode_counts).await;
    Event::Counted(group, rank, counts)
}

/// Reads the experts that a rank holds.
pub async fn read_held_experts(
    client: Client,
    group: String,
    rank: u16,
    address: SocketAddr,
) -> Event {
    let held = read(&client, address, engines::EXPERTS_PATH, engines::decode_held_experts).await;
    Event::HeldExperts(group, rank, held)
}

/// Sends a command to a rank and waits at most `wait` for the answer; `body` is the command encoded as
/// an order. An endpoint of another name at the address refuses it.
pub async fn send_command(
    client: Client,
    group: String,
    recipient: Recipient,
    command: RankCommand,
    body: Bytes,
    wait: Duration,
) -> Event {
    let sent_at = Instant::now();
    let Recipient { name, address } = recipient;
    let url = format!("http://{address}{}", engines::ORDER_PATH);
    let recipient = Some((engines::ORDER_RECIPIENT, name.as_str()));
    let reply = client.call_with_header(Method::POST, &url, recipient, body, wait).await;
    let outcome = match reply {
        Ok(reply) => engines::decode_answer(reply.status),
        Err(error) => {
            warn!("event=order_unanswered rank={address} group={group} reason=\"{error}\"");
            CommandOutcome::Unknown
        }
    };
    Event::Answered(group, command, outcome, sent_at.elapsed())
}

/// Reads and decodes a rank's data at a path; on failure logs the reason and returns `None`.
async fn read<T, D>(client: &Client, address: SocketAddr, path: &str, decode: D) -> Option<T>
where
    D: FnOnce(&[u8]) -> Result<T, ObjectError>,
{
    let reply = client.get(&format!("http://{address}{path}"), READ_TIMEOUT).await;
    let reason = match reply {
        Ok(reply) if reply.status == 200 => match decode(&reply.body) {
            Ok(value) => return Some(value),
            Err(error) => error.to_string(),
        },
        Ok(reply) => format!("status {}", reply.status),
        Err(error) => error.to_string(),
    };
    warn!("event=rank_unread rank={address} path={path} reason=\"{reason}\"");
    None
}
