//! Log lines in one `key=value` form, written to standard output without ever blocking.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::time::unix_millis;

/// Bytes of lines that wait to be written; what exceeds them is dropped and counted.
pub const WAITING_BYTES_MAX: usize = 131_072;
/// Time for which lines are collected before they are written together.
const COLLECT_FOR: Duration = Duration::from_millis(100);
/// Longest wait for the last lines when a process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether the writer is between taking lines and having written them.
    busy: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes lines without waiting for whoever reads them.
///
/// A thread of its own writes them in batches. Lines that come while [`WAITING_BYTES_MAX`] bytes
/// wait are dropped; the next batch begins with a line that tells how many.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// A queue without a writer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    /// The operating system's, when it starts no thread.
    pub fn start<W>(&self, mut output: W) -> io::Result<()>
    where
        W: Write + Send + 'static,
    {
        let queue = self.clone();
        let write = move || loop {
            let (bytes, dropped) = queue.take();
            // Nobody is left to be told when the output fails.
            let _ = output.write_all(&bytes);
            if dropped > 0 {
                let time = unix_millis();
                let _ = writeln!(output, "time={time} event=log_lines_dropped count={dropped}");
            }
            let _ = output.flush();
            queue.shared.lock().busy = false;
            queue.shared.changed.notify_all();
        };
        std::thread::Builder::new().name("log".to_string()).spawn(write).map(|_| ())
    }

    /// Waits until there are lines and takes them.
    fn take(&self) -> (Vec<u8>, u64) {
        let mut waiting = self.shared.lock();
        while waiting.bytes.is_empty() && waiting.dropped == 0 {
            waiting = self.shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
        waiting.busy = true;
        drop(waiting);
        std::thread::sleep(COLLECT_FOR);
        let mut waiting = self.shared.lock();
        (std::mem::take(&mut waiting.bytes), std::mem::take(&mut waiting.dropped))
    }

    /// Waits until all lines are written, but not for long.
    pub fn flush(&self) {
        let waiting = self.shared.lock();
        let unwritten = |waiting: &mut Waiting| {
            waiting.busy || waiting.dropped > 0 || !waiting.bytes.is_empty()
        };
        // Lines that a stuck reader does not take are lost with the process.
        let _ = self.shared.changed.wait_timeout_while(waiting, FLUSH_LIMIT, unwritten);
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.shared.lock();
        if waiting.bytes.len() + line.len() > WAITING_BYTES_MAX {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        if !waiting.busy {
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits when a process ends.
#[derive(Debug)]
#[must_use = "lines are lost when the process ends before they are written"]
pub struct LogGuard {
    queue: LogQueue,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.flush();
    }
}

/// Starts the logger of a daemon; `filter` is used where `RUST_LOG` is not set.
///
/// Each line reads `time=… level=… process=… module=… event=…` and then the event's own fields.
pub fn start_logger(process: &str, filter: &str) -> LogGuard {
    let queue = LogQueue::new();
    match queue.start(io::stdout()) {
        Ok(()) => init(process, filter, env_logger::Target::Pipe(Box::new(queue.clone()))),
        Err(error) => eprintln!("{process}: no thread for log lines: {error}"),
    }
    LogGuard { queue }
}

/// Starts the logger of a tool, whose standard output is for its results.
pub fn start_tool_logger(process: &str, filter: &str) {
    init(process, filter, env_logger::Target::Stderr);
}

fn init(process: &str, filter: &str, target: env_logger::Target) {
    let process = process.to_string();
    let environment = env_logger::Env::default().default_filter_or(filter);
    let mut builder = env_logger::Builder::from_env(environment);
    builder.target(target);
    builder.format(move |out, record| {
        writeln!(
            out,
            "time={} level={} process={process} module={} {}",
            unix_millis(),
            record.level().as_str().to_ascii_lowercase(),
            record.target(),
            record.args(),
        )
    });
    // A second start, as in tests, keeps the first logger.
    let _ = builder.try_init();
}

/// Shows a value quoted when it holds blanks or quotes, so that lines stay parseable.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !self.0.is_empty() && self.0.chars().all(plain) {
            f.write_str(self.0)
        } else {
            write!(f, "{:?}", self.0)
        }
    }
}
