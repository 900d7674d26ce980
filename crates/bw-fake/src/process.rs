//! A program of the project as a process of its own, for tests of signals and settings.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

/// A running process with its settings file; killed when it is dropped.
struct Process {
    child: Child,
    output: BufReader<ChildStdout>,
    folder: PathBuf,
}

impl Process {
    /// Starts a program with settings of this text.
    ///
    /// # Errors
    /// What the system says.
    fn start(program: &Path, settings: &str) -> io::Result<Self> {
        let name = program.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(settings_file(&folder), settings)?;
        let mut command = Command::new(program);
        command.arg(settings_file(&folder)).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn()?;
        let output = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        Ok(Self { child, output: BufReader::new(output), folder })
    }

    /// Replaces the settings file, so that the process never reads a part of it.
    ///
    /// # Errors
    /// What the system says.
    fn set(&self, settings: &str) -> io::Result<()> {
        let next = self.folder.join("next.ini");
        std::fs::write(&next, settings)?;
        std::fs::rename(&next, settings_file(&self.folder))
    }

    /// Sends a signal such as `-HUP`.
    ///
    /// # Errors
    /// What the system says; also when there is no such process.
    fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill {name}: {status}")))
        }
    }

    /// Reads lines until one has `text`, and returns it.
    ///
    /// # Errors
    /// When the process ends without such a line.
    fn wait_line(&mut self, text: &str) -> io::Result<String> {
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line)? == 0 {
                return Err(io::Error::other(format!("it ended without {text}")));
            }
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// Waits for its end; whether it was a success.
    ///
    /// # Errors
    /// What the system says.
    fn wait_end(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

/// Checks that a program reloads its settings at a signal and by their content alone, refuses those
/// with faults, and ends well.
///
/// `settings` gives the text for a value of `key`, which can be reloaded.
///
/// # Errors
/// What the program did not do.
pub fn check_reload<F>(program: &Path, key: &str, settings: F) -> io::Result<()>
where
    F: Fn(u32) -> String,
{
    let mut process = Process::start(program, &settings(1_000))?;
    process.wait_line("event=service_started service=settings")?;

    process.signal("-HUP")?;
    process.wait_line("event=settings_reloaded changed=false")?;

    // Without a signal, by its content alone.
    process.set(&settings(2_000))?;
    process.wait_line("event=settings_reloaded changed=true needs_restart=false")?;

    process.set(&settings(2_000).replace("127.0.0.1:0", "127.0.0.2:0"))?;
    process.signal("-HUP")?;
    process.wait_line("event=settings_reloaded changed=true needs_restart=true")?;

    process.set(&settings(0).replace(key, "unknown"))?;
    process.signal("-HUP")?;
    let line = process.wait_line("event=settings_refused")?;
    if !line.contains("unknown") {
        return Err(io::Error::other(format!("the fault has no place: {line}")));
    }

    process.signal("-TERM")?;
    process.wait_line("event=stopped failed=false")?;
    if process.wait_end()? {
        Ok(())
    } else {
        Err(io::Error::other("it ended with a failure"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended, which is what most tests wait for; the folder is a temporary one.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings_file(folder: &Path) -> PathBuf {
    folder.join("settings.ini")
}
