//! `path`: the latency that entry and agent add to a request, and their memory and idle processor
//! time.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bw_http::Client;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::time::Instant;

use crate::error::MeasureError;
use crate::output::print_row;
use crate::stats::quantile;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time over which the idle processor time is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second in the kernel's processor times.
const TICKS_PER_SECOND: f64 = 100.0;

/// latency added over calling the fake service directly, and memory and idle processor time
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "path")]
pub struct Path {
    /// address of an entry
    #[argh(option)]
    entry: SocketAddr,
    /// address of the fake service behind an agent
    #[argh(option)]
    direct: SocketAddr,
    /// service to call
    #[argh(option)]
    service: String,
    /// token of the workspace
    #[argh(option)]
    token: String,
    /// process id of the entry
    #[argh(option)]
    entry_pid: u32,
    /// process id of an agent
    #[argh(option)]
    agent_pid: u32,
    /// number of calls, directly and through the entry
    #[argh(option, default = "2000")]
    calls: usize,
}

impl Path {
    /// Runs the measurement.
    ///
    /// # Errors
    /// A call fails or is not answered 200, or a process cannot be read from `/proc`.
    pub async fn run(&self) -> Result<(), MeasureError> {
        let client = Client::new();
        let direct_url = format!("http://{}/jobs/1", self.direct);
        let entry_url = format!("http://{}/services/{}/jobs/1", self.entry, self.service);
        let mut direct = Vec::new();
        let mut proxied = Vec::new();
        for _ in 0..self.calls {
            // Alternate, so that both kinds of call see the machine at the same speed.
            direct.push(self.time_call(&client, &direct_url).await?);
            proxied.push(self.time_call(&client, &entry_url).await?);
        }
        for (name, q) in [("added_p50", 0.5), ("added_p99", 0.99)] {
            let added = quantile(&mut proxied, q) - quantile(&mut direct, q);
            print_row(name, &[], format!("{added:.0}"), "us");
        }
        print_row("entry_rss", &[], format!("{:.1}", resident_mebibytes(self.entry_pid)?), "MB");
        print_row("agent_rss", &[], format!("{:.1}", resident_mebibytes(self.agent_pid)?), "MB");
        for (name, pid) in [("agent_idle_cpu", self.agent_pid), ("entry_idle_cpu", self.entry_pid)]
        {
            let before = processor_seconds(pid)?;
            tokio::time::sleep(IDLE_TIME).await;
            let used = processor_seconds(pid)? - before;
            let percent = 100.0 * used / IDLE_TIME.as_secs_f64();
            print_row(name, &[], format!("{percent:.2}"), "percent");
        }
        Ok(())
    }

    async fn time_call(&self, client: &Client, url: &str) -> Result<f64, MeasureError> {
        let request = Request::post(url)
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .body(Full::<Bytes>::from(json!({ "status": "?" }).to_string()))
            .map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        let started_at = Instant::now();
        let response = client.send(request, REQUEST_TIMEOUT).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        body.map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        if status != 200 {
            return Err(MeasureError::Unexpected(format!("{url} answered {status}")));
        }
        Ok(started_at.elapsed().as_secs_f64() * 1e6)
    }
}

fn resident_mebibytes(pid: u32) -> Result<f64, MeasureError> {
    let text = read_process_file(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes
        .map(|kb| kb / 1024.0)
        .ok_or(MeasureError::Unexpected("no VmRSS in /proc/<pid>/status".to_string()))
}

fn processor_seconds(pid: u32) -> Result<f64, MeasureError> {
    let text = read_process_file(pid, "stat")?;
    let after_name = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    // User and system time are fields 14 and 15 of the file; the first field after the name is 3.
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_SECOND),
        _ => Err(MeasureError::Unexpected("no processor times in /proc/<pid>/stat".to_string())),
    }
}

fn read_process_file(pid: u32, name: &str) -> Result<String, MeasureError> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path)
        .map_err(|error| MeasureError::Unexpected(format!("{path}: {error}")))
}
