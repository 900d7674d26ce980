//! `session`: callers at work against a running fleet, and what they and the stand-ins counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bw_http::Client;
use futures::future::join_all;
use serde_json::Value;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::caller::Received;
use crate::error::MeasureError;

const CALLERS: usize = 12;
const TOKENS: usize = 40;

/// send requests as callers do, and count what was answered
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "session")]
pub struct Session {
    /// an entry that the callers know
    #[argh(option)]
    entry: SocketAddr,
    /// control address of the stand-ins
    #[argh(option)]
    control: SocketAddr,
    /// model to ask
    #[argh(option)]
    model: String,
    /// service to call
    #[argh(option)]
    service: String,
    /// token of the workspace
    #[argh(option)]
    token: String,
    /// time to send for
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Counts of one caller.
#[derive(Default)]
struct Counts {
    sent: u64,
    whole: u64,
    lost: Vec<String>,
}

impl Session {
    /// Runs the session.
    ///
    /// # Errors
    /// [`MeasureError::Check`] when anything was lost or doubled.
    pub async fn run(&self) -> Result<(), MeasureError> {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let callers = (0..CALLERS).map(|number| self.call_until(number, end));
        let counts = join_all(callers).await;
        let sent: u64 = counts.iter().map(|counts| counts.sent).sum();
        let whole: u64 = counts.iter().map(|counts| counts.whole).sum();
        let lost: Vec<&String> = counts.iter().flat_map(|counts| &counts.lost).collect();
        for reason in &lost {
            eprintln!("lost: {reason}");
        }
        let (once, doubled) = self.count_runs().await?;
        println!("calls that may run once, as the stand-ins counted them: {once} ran");
        println!("demo: {sent} sent, {whole} whole, {} lost, {doubled} doubled", lost.len());
        if !lost.is_empty() || doubled > 0 || sent == 0 || once == 0 {
            return Err(MeasureError::Check("lost or doubled requests".to_string()));
        }
        Ok(())
    }

    async fn call_until(&self, number: usize, end: Instant) -> Counts {
        let mut caller = Caller::new(self.entry, &self.token, number);
        let mut counts = Counts::default();
        let mut round = 0;
        while Instant::now() < end {
            round += 1;
            let name = format!("caller {number} round {round}");
            let received = match round % 4 {
                0 => caller.chat(&self.model, &name, TOKENS, false).await,
                1 => caller.read(&self.service, &format!("/jobs/{number}-{round}")).await,
                2 => {
                    let key = format!("session-{number}-{round}");
                    let body = format!("{{\"robot\":\"{name}\"}}");
                    caller.call_once(&self.service, "/dispatch", &body, &key).await
                }
                _ => caller.chat(&self.model, &name, TOKENS, true).await,
            };
            counts.sent += 1;
            match received {
                Received::Whole => counts.whole += 1,
                Received::Lost(reason) => counts.lost.push(format!("{name}: {reason}")),
            }
        }
        counts
    }

    /// Calls that may run once, and how many of them ran more often.
    async fn count_runs(&self) -> Result<(usize, usize), MeasureError> {
        let url = format!("http://{}/control/counters", self.control);
        let reply = Client::new().get(&url, Duration::from_secs(5)).await?;
        let value: Value = serde_json::from_slice(&reply.body)
            .map_err(|error| MeasureError::State(error.to_string()))?;
        let runs = value.get("runs").cloned().unwrap_or_default();
        let runs: BTreeMap<String, u32> =
            serde_json::from_value(runs).map_err(|error| MeasureError::State(error.to_string()))?;
        let once: Vec<u32> =
            runs.iter().filter(|(call, _)| call.starts_with("POST ")).map(|(_, n)| *n).collect();
        let doubled = once.iter().filter(|count| **count > 1).count();
        Ok((once.len(), doubled))
    }
}
