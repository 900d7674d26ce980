//! Log lines of `key=value` fields, written without ever blocking the threads that log.

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

/// Capacity of the line buffer, in bytes; lines that do not fit are dropped and counted.
pub const BUFFER_BYTES_MAX: usize = 131_072;
/// Time for which lines are collected into one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait at process exit for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last batch.
    dropped: u64,
    /// Whether the writer is collecting or writing a batch.
    busy: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues log lines without waiting for the reader of the output.
///
/// A separate thread writes them in batches. A line that would grow the buffer beyond
/// [`BUFFER_BYTES_MAX`] is dropped; a batch is followed by a line with the number of lines dropped
/// since the previous one.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Creates a queue without a writer thread.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    /// The operating system's error when the thread cannot be started.
    pub fn start<W>(&self, mut output: W) -> io::Result<()>
    where
        W: Write + Send + 'static,
    {
        let queue = self.clone();
        let write = move || loop {
            let (bytes, dropped) = queue.next_batch();
            // A failure of the log output cannot be reported anywhere.
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

    /// Waits until there are lines, then returns their bytes and the number of dropped lines.
    fn next_batch(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.shared.lock();
        while buffer.bytes.is_empty() && buffer.dropped == 0 {
            buffer = self.shared.changed.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        buffer.busy = true;
        drop(buffer);
        std::thread::sleep(BATCH_INTERVAL);
        let mut buffer = self.shared.lock();
        (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
    }

    /// Waits until all lines are written, for at most 500 ms.
    pub fn flush(&self) {
        let buffer = self.shared.lock();
        let unwritten =
            |buffer: &mut Buffer| buffer.busy || buffer.dropped > 0 || !buffer.bytes.is_empty();
        // When the reader of the output is stuck, the remaining lines are lost at process exit.
        let _ = self.shared.changed.wait_timeout_while(buffer, FLUSH_TIMEOUT, unwritten);
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + line.len() > BUFFER_BYTES_MAX {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        if !buffer.busy {
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Flushes the log queue when dropped at process exit.
#[derive(Debug)]
#[must_use = "dropping the guard early loses the lines logged just before process exit"]
pub struct LogGuard {
    queue: LogQueue,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.flush();
    }
}

/// Starts the logger of a daemon, on standard output; `filter` applies unless `RUST_LOG` is set.
///
/// A line has the form `time=… level=… process=… module=… event=…`, followed by the event's own
/// fields.
pub fn start_logger(process: &str, filter: &str) -> LogGuard {
    let queue = LogQueue::new();
    match queue.start(io::stdout()) {
        Ok(()) => init(process, filter, env_logger::Target::Pipe(Box::new(queue.clone()))),
        Err(error) => eprintln!("{process}: cannot start the log thread: {error}"),
    }
    LogGuard { queue }
}

/// Starts the logger of a tool, on standard error; its standard output is reserved for results.
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
    // When a logger is already set, as in tests, the first one stays.
    let _ = builder.try_init();
}

/// Displays a value in quotes when it is empty or holds whitespace, control characters, `"` or `=`,
/// so that log lines stay parseable.
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
