//! Runs a binary of the project as a child process, for tests of signals and settings reloads.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

/// A child process and the folder of its settings file; dropping it kills the process.
struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    folder: PathBuf,
}

impl Process {
    /// Starts a program with a settings file of the given content.
    ///
    /// # Errors
    /// The operating system's error.
    fn start(program: &Path, settings: &str) -> io::Result<Self> {
        let name = program.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(settings_file(&folder), settings)?;
        let mut command = Command::new(program);
        command.arg(settings_file(&folder)).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the child process has no stdout pipe"))?;
        Ok(Self { child, stdout: BufReader::new(stdout), folder })
    }

    /// Replaces the settings file atomically, so that the process never reads half of it.
    ///
    /// # Errors
    /// The operating system's error.
    fn replace_settings(&self, settings: &str) -> io::Result<()> {
        let next = self.folder.join("next.ini");
        std::fs::write(&next, settings)?;
        std::fs::rename(&next, settings_file(&self.folder))
    }

    /// Sends a signal such as `-HUP`.
    ///
    /// # Errors
    /// The operating system's error, or the exit status of `kill` if no such process exists.
    fn send_signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill {name}: {status}")))
        }
    }

    /// Reads lines of output until one contains `text`, and returns that line.
    ///
    /// # Errors
    /// The process closed its output without such a line, or reading failed.
    fn wait_for_line(&mut self, text: &str) -> io::Result<String> {
        loop {
            let mut line = String::new();
            if self.stdout.read_line(&mut line)? == 0 {
                return Err(io::Error::other(format!(
                    "the process ended without a line that contains {text}"
                )));
            }
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// Waits until the process exits, and returns whether its exit status was a success.
    ///
    /// # Errors
    /// The operating system's error.
    fn wait_for_exit(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

/// Checks that a program reloads its settings on SIGHUP and when the file's content changes,
/// rejects settings with faults, and exits with success on SIGTERM.
///
/// `settings` returns the content of the settings file for a value of `key`, a key that can be
/// reloaded without a restart.
///
/// # Errors
/// The first step that the program did not carry out as expected.
pub fn check_reload<F>(program: &Path, key: &str, settings: F) -> io::Result<()>
where
    F: Fn(u32) -> String,
{
    let mut process = Process::start(program, &settings(1_000))?;
    process.wait_for_line("event=service_started service=settings")?;

    process.send_signal("-HUP")?;
    process.wait_for_line("event=settings_reloaded changed=false")?;

    // No signal: the program must detect the changed content.
    process.replace_settings(&settings(2_000))?;
    process.wait_for_line("event=settings_reloaded changed=true needs_restart=false")?;

    process.replace_settings(&settings(2_000).replace("127.0.0.1:0", "127.0.0.2:0"))?;
    process.send_signal("-HUP")?;
    process.wait_for_line("event=settings_reloaded changed=true needs_restart=true")?;

    process.replace_settings(&settings(0).replace(key, "unknown"))?;
    process.send_signal("-HUP")?;
    let line = process.wait_for_line("event=settings_refused")?;
    if !line.contains("unknown") {
        return Err(io::Error::other(format!("the log line does not name the faulty key: {line}")));
    }

    process.send_signal("-TERM")?;
    process.wait_for_line("event=stopped failed=false")?;
    if process.wait_for_exit()? {
        Ok(())
    } else {
        Err(io::Error::other("the process exited with a failure status"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: in most tests the process has exited already, and the folder is a
        // temporary one.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings_file(folder: &Path) -> PathBuf {
    folder.join("settings.ini")
}
