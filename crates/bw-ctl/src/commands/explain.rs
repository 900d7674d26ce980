//! `bwctl explain`: shows the decisions about a request or a group.
//!
//! ```text
//! $ bwctl explain --entry 10.0.0.3:8000 7f1c
//! event=route request=7f1c workspace=front-desk pool=concierge choice=concierge-a …
//! ```

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use super::query_entries;
use super::status::find_entries;
use crate::error::CtlError;

/// show the decisions about a request or a group
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of an entry; by default, all entries of the accepted configuration are queried
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// address of the object store, to find the entries
    #[argh(option)]
    platform: Option<String>,
    /// id of a request, or name of a group
    #[argh(positional)]
    subject: String,
}

impl Explain {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// No entry has a decision about the subject, or the entries cannot be determined.
    pub async fn run(&self) -> Result<String, CtlError> {
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
}
