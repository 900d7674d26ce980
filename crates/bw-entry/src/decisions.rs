//! Log of this entry's most recent decisions, for `bwctl explain`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::info;

/// Maximum number of decisions in memory; the oldest is dropped first.
const DECISIONS_MAX: usize = 4_096;

/// Recent decisions, each with its subject: a request id or a group.
#[derive(Clone, Default)]
pub struct Decisions {
    lines: Arc<Mutex<VecDeque<(String, String)>>>,
}

impl Decisions {
    /// Logs a decision about `subject` and keeps the line in memory.
    pub fn record(&self, subject: &str, line: String) {
        info!("{line}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back((subject.to_string(), line));
        if lines.len() > DECISIONS_MAX {
            lines.pop_front();
        }
    }

    /// Returns the log lines of decisions about `subject`, oldest first.
    pub fn lines(&self, subject: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().filter(|(about, _)| about == subject);
        found.map(|(_, line)| line.clone()).collect()
    }
}
