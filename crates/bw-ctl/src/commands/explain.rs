//! `bwctl explain`: shows the decisions about a request or a group, or where a request would go now.
//!
//! ```text
//! $ bwctl explain --entry 10.0.0.3:8000 7f1c
//! event=route request=7f1c workspace=front-desk pool=concierge choice=concierge-a …
//!
//! $ bwctl explain --gateway 10.0.0.7:9464 --host shop.example --workspace orders /chat/1
//! route chat, priority 1, version 8 proved 120 ms ago
//! service concierge: would be sent to i-7f3a (Home), 0 waiting, news 160 ms old
//! …
//! ```

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bw_http::Client;
use bw_proto::explain::EndpointView;
use bw_proto::explain::Explanation;
use bw_proto::explain::Question;
use bw_proto::explain::Refused;
use bw_proto::explain::ServiceView;
use bw_proto::explain::Verdict;
use bw_proto::explain::EXPLAIN_PATH;
use hyper::Method;
use serde_json::Value;

use super::query_entries;
use super::status::find_entries;
use crate::error::CtlError;

/// Time for which the command waits for a gateway.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP status of an answered question.
const OK: u16 = 200;
/// HTTP status of a gateway that does not know the question.
const NOT_FOUND: u16 = 404;

/// show the decisions about a request or a group, or where a request would go now
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of an entry; by default, all entries of the accepted configuration are queried
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// address of the object store, to find the entries
    #[argh(option)]
    platform: Option<String>,
    /// address of a gateway's metrics; the subject is then the path of a request that is not sent
    #[argh(option)]
    gateway: Option<SocketAddr>,
    /// host of the request
    #[argh(option)]
    host: Option<String>,
    /// key of the caller
    #[argh(option)]
    key: Option<String>,
    /// workspace of the caller, instead of a key
    #[argh(option)]
    workspace: Option<String>,
    /// tokens in the prompt
    #[argh(option, default = "0")]
    prompt: u32,
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
    /// id of a request, name of a group, or with --gateway a path
    #[argh(positional)]
    subject: String,
}

impl Explain {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// No entry has a decision about the subject, the entries cannot be determined, or the gateway does
    /// not answer the question.
    pub async fn run(&self) -> Result<String, CtlError> {
        match self.gateway {
            Some(gateway) => self.ask_gateway(gateway).await,
            None => self.ask_entries().await,
        }
    }

    async fn ask_entries(&self) -> Result<String, CtlError> {
        let addresses = find_entries(self.entry, self.platform.as_deref()).await?;
        let path = format!("/admin/explain/{}", self.subject);
        let mut lines = Vec::new();
        for address in addresses {
            let Ok(value) = query_entries(&[address], &path).await else {
                continue;
            };
            let decisions = value.get("decisions").and_then(Value::as_array);
            let texts = decisions.into_iter().flatten().filter_map(Value::as_str);
            lines.extend(texts.map(str::to_string));
        }
        if lines.is_empty() {
            return Err(CtlError::NoEntry(format!(
                "no decisions are recorded for {:?}",
                self.subject
            )));
        }
        Ok(lines.join("\n"))
    }

    async fn ask_gateway(&self, gateway: SocketAddr) -> Result<String, CtlError> {
        let question = Question::try_from(self)?;
        let url = format!("http://{gateway}{EXPLAIN_PATH}");
        let reply = Client::default()
            .call(Method::POST, &url, Some(&question), GATEWAY_TIMEOUT)
            .await
            .map_err(|error| CtlError::Gateway { gateway, reason: error.to_string() })?;
        if reply.status != OK {
            return Err(CtlError::Gateway { gateway, reason: refusal(reply.status, &reply.body) });
        }
        if self.json {
            return Ok(String::from_utf8_lossy(&reply.body).into_owned());
        }
        let explanation: Explanation = serde_json::from_slice(&reply.body)
            .map_err(|error| CtlError::Gateway { gateway, reason: error.to_string() })?;
        Ok(render(&explanation))
    }
}

impl TryFrom<&Explain> for Question {
    type Error = CtlError;

    fn try_from(command: &Explain) -> Result<Self, CtlError> {
        let host = command.host.clone();
        let host = host.ok_or_else(|| CtlError::Usage("--gateway needs --host".to_string()))?;
        if command.key.is_some() && command.workspace.is_some() {
            return Err(CtlError::Usage("--key and --workspace exclude each other".to_string()));
        }
        if !command.subject.starts_with('/') {
            return Err(CtlError::Usage("with --gateway, the subject is a path".to_string()));
        }
        Ok(Self {
            host,
            path: command.subject.clone(),
            key: command.key.clone(),
            workspace: command.workspace.clone(),
            prompt: command.prompt,
        })
    }
}

/// Returns why a gateway did not answer the question.
fn refusal(status: u16, body: &[u8]) -> String {
    if status == NOT_FOUND {
        return "it does not know this question; its release may be older".to_string();
    }
    format!("status {status}: {}", String::from_utf8_lossy(body).trim())
}

/// Returns the explanation as text for a person.
pub fn render(explanation: &Explanation) -> String {
    let mut text = String::new();
    let proof = explanation
        .proof_age_ms
        .map_or("not proved".to_string(), |age| format!("proved {age} ms ago"));
    let version = explanation.version;
    // Writing to a `String` cannot fail.
    let _ = match &explanation.route {
        Some(route) => writeln!(
            text,
            "route {}, prefix {}, priority {}, first byte within {} ms, version {version} {proof}",
            route.name, route.prefix, route.priority, route.target_ms
        ),
        None => writeln!(text, "no route, version {version} {proof}"),
    };
    if let Some(workspace) = &explanation.workspace {
        let _ = writeln!(text, "workspace {workspace}");
    }
    if let Some(refused) = &explanation.refused {
        let _ = writeln!(text, "{}", describe_refusal(refused));
    }
    for service in &explanation.services {
        let _ = writeln!(text, "{}", describe_service(service));
        for endpoint in &service.endpoints {
            let _ = writeln!(text, "  {}", describe_endpoint(endpoint));
        }
    }
    text.trim_end().to_string()
}

fn describe_refusal(refused: &Refused) -> String {
    let after = refused.retry_after_ms.map_or(String::new(), |ms| format!(", back in {ms} ms"));
    format!("would be refused: {} ({}){after}", refused.reason, refused.status)
}

fn describe_service(service: &ServiceView) -> String {
    let verdict = match &service.verdict {
        Verdict::Send { endpoint, slot } => format!("would be sent to {endpoint} ({slot})"),
        Verdict::Wait { expected_ms } => format!(
            "would wait here for about {expected_ms} ms, {} ms are useful",
            service.useful_ms
        ),
        Verdict::Refuse(refused) => describe_refusal(refused),
    };
    format!(
        "service {}, {:.0} percent of requests: {verdict}; order {}, {} waiting, news {} ms old, {} \
         endpoints",
        service.service,
        service.share * 100.0,
        service.order,
        service.waiting,
        service.news_age_ms,
        service.endpoint_count
    )
}

fn describe_endpoint(endpoint: &EndpointView) -> String {
    let until = endpoint.until_ms.map_or(String::new(), |ms| format!(" for {ms} ms"));
    format!(
        "{:<20} {:<12} {}{until}, {}/{} requests, {} tokens unread, pace {:.2}",
        endpoint.name,
        endpoint.centre,
        endpoint.state,
        endpoint.requests,
        endpoint.slots,
        endpoint.unread,
        endpoint.pace
    )
}
