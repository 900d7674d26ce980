//! Calls to ranks, and what they bring.

use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::engines;
use bw_adapter::ObjectError;
use bw_expert::drive::Answer;
use bw_expert::drive::RankCommand;
use bw_http::Client;
use hyper::Method;
use log::warn;

use super::decide::MapPlan;

/// Time in which a rank answers an order.
const ORDER_LIMIT: Duration = Duration::from_millis(150);
/// Time in which a rank answers a reading.
const READ_LIMIT: Duration = Duration::from_millis(300);

/// What a call to a rank, or a plan, brought; with the group's name and the rank.
pub enum Event {
    /// The answer to an order.
    Answered(String, RankCommand, Answer),
    /// A report; `None` where the rank gave none.
    Reported(String, u16, Option<engines::RankReport>),
    /// Counts; `None` where the rank gave none.
    Counted(String, u16, Option<engines::ExpertCounts>),
    /// The experts that the rank holds; `None` where it told none.
    Held(String, u16, Option<engines::HeldExperts>),
    /// A map that was planned.
    Planned(String, MapPlan),
}

/// A call to a rank that is on its way.
pub type Call = futures::future::BoxFuture<'static, Event>;

/// Reads a rank's report.
pub async fn read_report(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let report = read(&client, address, engines::REPORT_PATH, engines::decode_report).await;
    Event::Reported(group, rank, report)
}

/// Reads a rank's counts.
pub async fn read_counts(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let counts = read(&client, address, engines::COUNTS_PATH, engines::decode_counts).await;
    Event::Counted(group, rank, counts)
}

/// Reads the experts that a rank holds.
pub async fn read_held(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let held = read(&client, address, engines::EXPERTS_PATH, engines::decode_held_experts).await;
    Event::Held(group, rank, held)
}

/// Sends an order to a rank.
pub async fn send_order(
    client: Client,
    group: String,
    address: SocketAddr,
    sending: RankCommand,
    body: serde_json::Value,
) -> Event {
    let url = format!("http://{address}{}", engines::ORDER_PATH);
    let answer = match client.call(Method::POST, &url, Some(&body), ORDER_LIMIT).await {
        Ok(reply) => engines::decode_answer(reply.status),
        Err(error) => {
            warn!("event=order_unanswered rank={address} group={group} reason=\"{error}\"");
            Answer::Unknown
        }
    };
    Event::Answered(group, sending, answer)
}

/// Reads what a rank tells at a path; `None`, with a line that says why, where it tells nothing.
async fn read<T, D>(client: &Client, rank: SocketAddr, path: &str, decode: D) -> Option<T>
where
    D: FnOnce(&[u8]) -> Result<T, ObjectError>,
{
    let reply = client.get(&format!("http://{rank}{path}"), READ_LIMIT).await;
    let reason = match reply {
        Ok(reply) if reply.status == 200 => match decode(&reply.body) {
            Ok(told) => return Some(told),
            Err(error) => error.to_string(),
        },
        Ok(reply) => format!("status {}", reply.status),
        Err(error) => error.to_string(),
    };
    warn!("event=rank_unread rank={rank} path={path} reason=\"{reason}\"");
    None
}
