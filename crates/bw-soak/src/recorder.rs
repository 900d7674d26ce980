//! Record of what happened in a run, with the checks applied as it grows.

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::check::Bounds;
use crate::check::Checker;
use crate::check::Event;
use crate::check::Outcome;

/// Number of recent events that are printed with a failed check.
const RECENT_EVENTS: usize = 40;

struct State {
    checker: Checker,
    recent: VecDeque<String>,
    file: File,
    failures: u32,
    answered: u32,
}

/// The record of one run.
pub struct Recorder {
    /// Seed of the run.
    pub seed: u64,
    started: Instant,
    state: Mutex<State>,
}

impl Recorder {
    /// Creates the record of a run, which is also written to `folder`.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn new(seed: u64, bounds: Bounds, folder: &Path) -> io::Result<Self> {
        let state = State {
            checker: Checker::new(bounds),
            recent: VecDeque::new(),
            file: File::create(folder.join("history.log"))?,
            failures: 0,
            answered: 0,
        };
        Ok(Self { seed, started: Instant::now(), state: Mutex::new(state) })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records an event that happens now, and prints the checks that it fails.
    pub fn observe(&self, event: &Event) {
        let mut state = self.lock();
        // Within the lock, so that times rise in the order of the events.
        let at = self.now();
        if matches!(event, Event::Ended { outcome: Outcome::Whole(200, _), .. }) {
            state.answered += 1;
        }
        write_line(&mut state, format!("{:.3} {event:?}", at.as_secs_f64()));
        for violation in state.checker.observe(at, event) {
            let reason = format!("{} attempt=a-{}", violation.rule, violation.attempt);
            self.print_failure(&mut state, &reason);
        }
    }

    /// Records a remark on what is done from outside.
    pub fn note(&self, text: &str) {
        write_line(&mut self.lock(), format!("{:.3} {text}", self.now().as_secs_f64()));
    }

    /// Records a failed check of the run as a whole.
    pub fn fail(&self, reason: &str) {
        self.print_failure(&mut self.lock(), reason);
    }

    /// Returns the number of failed checks and of requests answered with 200.
    pub fn totals(&self) -> (u32, u32) {
        let state = self.lock();
        (state.failures, state.answered)
    }

    fn print_failure(&self, state: &mut State, reason: &str) {
        state.failures += 1;
        let time = self.now().as_secs_f64();
        println!("FAILED seed={} time={time:.3} {reason}; last events:", self.seed);
        state.recent.iter().for_each(|line| println!("    {line}"));
        write_line(state, format!("{time:.3} FAILED {reason}"));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_line(state: &mut State, line: String) {
    if let Err(error) = writeln!(state.file, "{line}") {
        eprintln!("bw-soak: the history is incomplete: {error}");
    }
    if state.recent.len() == RECENT_EVENTS {
        state.recent.pop_front();
    }
    state.recent.push_back(line);
}
