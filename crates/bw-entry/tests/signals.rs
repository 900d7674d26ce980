//! Signals and a settings file that changes: bw-entry goes on, and says what it did.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

/// A running process, killed when the test is over.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended, which is what most tests wait for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

/// Reads lines until one has `text`.
fn wait_line(output: &mut BufReader<ChildStdout>, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(output.read_line(&mut line).unwrap() > 0, "it ended without {text}");
        if line.contains(text) {
            return line;
        }
    }
}

fn settings(progress: u32) -> String {
    format!(
        "[entry]\ninstance = entry-1\ndata-centre = a\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         platform = http://127.0.0.1:1\nprogress-ms = {progress}\n"
    )
}

#[test]
fn a_hangup_reloads_what_can_be_reloaded() {
    let folder = std::env::temp_dir().join(format!("bw-entry-signals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("settings.ini");
    std::fs::write(&file, settings(1_000)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bw-entry"));
    let child = command.arg(&file).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let mut process = Process(child);
    let mut output = BufReader::new(process.0.stdout.take().unwrap());
    wait_line(&mut output, "event=service_started service=settings");

    process.signal("-HUP");
    wait_line(&mut output, "event=settings_reloaded changed=false");

    // Without a signal, by its content alone.
    std::fs::write(&file, settings(2_000)).unwrap();
    wait_line(&mut output, "event=settings_reloaded changed=true needs_restart=false");

    std::fs::write(&file, settings(2_000).replace("127.0.0.1:0", "127.0.0.2:0")).unwrap();
    process.signal("-HUP");
    wait_line(&mut output, "event=settings_reloaded changed=true needs_restart=true");

    std::fs::write(&file, settings(0).replace("progress-ms", "unknown")).unwrap();
    process.signal("-HUP");
    let line = wait_line(&mut output, "event=settings_refused");
    assert!(line.contains("unknown"), "{line}");

    process.signal("-TERM");
    wait_line(&mut output, "event=stopped failed=false");
    assert!(process.0.wait().unwrap().success());
    std::fs::remove_dir_all(&folder).unwrap();
}
