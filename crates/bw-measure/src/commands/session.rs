//! `session`: load from callers on a running fleet, and the counts of the callers and the fakes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bw_http::Client;
use futures::future::join_all;
use serde_json::Value;
use tokio::time::Instant;

use crate::caller::CallResult;
use crate::caller::Caller;
use crate::error::MeasureError;

const CALLERS: usize = 12;
const TOKENS: usize = 40;

/// send requests as callers do, and count the answers
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "session")]
pub struct Session {
    /// address of the entry that the callers know
    #[argh(option)]
    entry: SocketAddr,
    /// control address of the fakes
    #[argh(option)]
    control: SocketAddr,
    /// model to call
    #[argh(option)]
    model: String,
    /// service to call
    #[argh(option)]
    service: String,
    /// token of the workspace
    #[argh(option)]
    token: String,
    /// duration of the load in seconds
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Results of one caller.
#[derive(Default)]
struct Counts {
    sent: u64,
    complete: u64,
    failures: Vec<String>,
}

impl Session {
    /// Runs the load and prints the counts.
    ///
    /// # Errors
    /// [`MeasureError::Check`] if a request failed, if a call that may run once ran more often, or
    /// if nothing was sent or no such call ran.
    pub async fn run(&self) -> Result<(), MeasureError> {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let callers = (0..CALLERS).map(|number| self.run_caller(number, end));
        let counts = join_all(callers).await;
        let sent: u64 = counts.iter().map(|counts| counts.sent).sum();
        let complete: u64 = counts.iter().map(|counts| counts.complete).sum();
        let failures: Vec<&String> = counts.iter().flat_map(|counts| &counts.failures).collect();
        for reason in &failures {
            eprintln!("lost: {reason}");
        }
        let (calls, doubled) = self.count_runs().await?;
        println!("calls that may run once, as the stand-ins counted them: {calls} ran");
        println!("demo: {sent} sent, {complete} whole, {} lost, {doubled} doubled", failures.len());
        if !failures.is_empty() || doubled > 0 || sent == 0 || calls == 0 {
            return Err(MeasureError::Check("lost or doubled requests".to_string()));
        }
        Ok(())
    }

    async fn run_caller(&self, number: usize, end: Instant) -> Counts {
        let mut caller = Caller::new(self.entry, &self.token, number);
        let mut counts = Counts::default();
        let mut round = 0;
        while Instant::now() < end {
            round += 1;
            let name = format!("caller {number} round {round}");
            let result = match round % 4 {
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
            match result {
                CallResult::Complete => counts.complete += 1,
                CallResult::Failed(reason) => counts.failures.push(format!("{name}: {reason}")),
            }
        }
        counts
    }

    /// Returns the number of distinct calls that may run once, and of those that ran more often.
    async fn count_runs(&self) -> Result<(usize, usize), MeasureError> {
        let url = format!("http://{}/control/counters", self.control);
        let reply = Client::new().get(&url, Duration::from_secs(5)).await?;
        let value: Value = serde_json::from_slice(&reply.body)
            .map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        let runs = value.get("runs").cloned().unwrap_or_default();
        let runs: BTreeMap<String, u32> = serde_json::from_value(runs)
            .map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        let run_counts: Vec<u32> =
            runs.iter().filter(|(call, _)| call.starts_with("POST ")).map(|(_, n)| *n).collect();
        let doubled = run_counts.iter().filter(|count| **count > 1).count();
        Ok((run_counts.len(), doubled))
    }
}
