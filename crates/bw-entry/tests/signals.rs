//! Signals and a settings file that changes: the process goes on, and says what it did.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use bw_fake::process::Process;

fn settings(progress: u32) -> String {
    format!(
        "[entry]\ninstance = entry-1\ndata-centre = a\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         platform = http://127.0.0.1:1\nprogress-ms = {progress}\n"
    )
}

#[test]
fn a_hangup_reloads_what_can_be_reloaded() {
    let program = Path::new(env!("CARGO_BIN_EXE_bw-entry"));
    let mut process = Process::start(program, &settings(1_000)).unwrap();
    process.wait_line("event=service_started service=settings").unwrap();

    process.signal("-HUP").unwrap();
    process.wait_line("event=settings_reloaded changed=false").unwrap();

    // Without a signal, by its content alone.
    process.set(&settings(2_000)).unwrap();
    process.wait_line("event=settings_reloaded changed=true needs_restart=false").unwrap();

    process.set(&settings(2_000).replace("127.0.0.1:0", "127.0.0.2:0")).unwrap();
    process.signal("-HUP").unwrap();
    process.wait_line("event=settings_reloaded changed=true needs_restart=true").unwrap();

    process.set(&settings(0).replace("progress-ms", "unknown")).unwrap();
    process.signal("-HUP").unwrap();
    let line = process.wait_line("event=settings_refused").unwrap();
    assert!(line.contains("unknown"), "{line}");

    process.signal("-TERM").unwrap();
    process.wait_line("event=stopped failed=false").unwrap();
    assert!(process.wait_end().unwrap());
}
