//! Child processes: gateways, whose output goes to log files, and stand-ins, which take orders.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::Child;
use tokio::process::ChildStdin;
use tokio::process::ChildStdout;
use tokio::process::Command;

/// Interval at which the end of a process is looked for.
const END_POLL: Duration = Duration::from_millis(20);

/// A child process, which is killed when it is dropped.
pub struct Process {
    child: Mutex<Child>,
}

impl Process {
    /// Starts a program whose output is appended to the file `log`.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn start(program: &Path, argument: &Path, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg(argument).stdin(Stdio::null()).stderr(output.try_clone()?).stdout(output);
        Ok(Self { child: Mutex::new(command.kill_on_drop(true).spawn()?) })
    }

    /// Sends a signal such as `-TERM`, unless the process has ended.
    ///
    /// # Errors
    /// The operating system's error, or the exit status of `kill`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        // The process is not reaped while the lock is held, so its id is not given out again.
        let mut child = self.lock();
        let (None, Some(id)) = (child.try_wait()?, child.id()) else { return Ok(()) };
        let status = std::process::Command::new("kill").args([name, &id.to_string()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill {name}: {status}")))
        }
    }

    /// Waits until the process ends, and kills it at the time limit. Returns how it ended.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn end(&self, limit: Duration) -> io::Result<String> {
        let started = tokio::time::Instant::now();
        let mut killed = false;
        loop {
            if let Some(status) = self.lock().try_wait()? {
                return Ok(status.to_string());
            }
            if !killed && started.elapsed() >= limit {
                killed = true;
                self.lock().start_kill()?;
            }
            tokio::time::sleep(END_POLL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stand-in as a child process.
pub struct StandIn {
    /// The process.
    pub process: Process,
    /// Address on which it listens.
    pub address: SocketAddr,
    orders: tokio::sync::Mutex<ChildStdin>,
}

impl StandIn {
    /// Starts this program with the given subcommand, and returns it with the lines that it reports.
    ///
    /// # Errors
    /// The operating system's error, or an end before the process told its address.
    pub async fn start(
        arguments: &[String],
        log: &Path,
    ) -> io::Result<(Self, Lines<BufReader<ChildStdout>>)> {
        let mut command = Command::new(std::env::current_exe()?);
        let errors = File::options().create(true).append(true).open(log)?;
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(errors);
        let mut child = command.kill_on_drop(true).spawn()?;
        let (Some(stdin), Some(stdout)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("the child process has no pipes"));
        };
        let mut lines = BufReader::new(stdout).lines();
        let address = lines.next_line().await?.unwrap_or_default();
        let address = address.parse().map_err(io::Error::other)?;
        let process = Process { child: Mutex::new(child) };
        let orders = tokio::sync::Mutex::new(stdin);
        Ok((Self { process, address, orders }, lines))
    }

    /// Gives the process an order.
    ///
    /// # Errors
    /// The operating system's error: the process has ended.
    pub async fn order<T>(&self, order: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let line = format!("{}\n", serde_json::to_string(order)?);
        self.orders.lock().await.write_all(line.as_bytes()).await
    }
}
