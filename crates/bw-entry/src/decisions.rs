//! The last decisions of this entry, for `bwctl explain`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::info;

/// Decisions remembered.
const DECISIONS_MAX: usize = 4_096;

/// Decisions by what they concern.
#[derive(Clone, Default)]
pub struct Decisions {
    lines: Arc<Mutex<VecDeque<(String, String)>>>,
}

impl Decisions {
    /// Logs a decision on `subject`, a request id or an endpoint, and remembers it.
    pub fn note(&self, subject: &str, line: String) {
        info!("{line}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back((subject.to_string(), line));
        if lines.len() > DECISIONS_MAX {
            lines.pop_front();
        }
    }

    /// What was decided on `subject`, the oldest first.
    pub fn about(&self, subject: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().filter(|(about, _)| about == subject);
        found.map(|(_, line)| line.clone()).collect()
    }
}
