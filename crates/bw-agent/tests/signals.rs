//! Signals and a settings file that changes: the process goes on, and says what it did.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use bw_fake::process::check_reload;

fn settings(beat: u32) -> String {
    format!(
        "[agent]\ninstance = node-1\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\nbeat-ms = {beat}\n"
    )
}

#[test]
fn a_hangup_reloads_what_can_be_reloaded() {
    let program = Path::new(env!("CARGO_BIN_EXE_bw-agent"));
    check_reload(program, "beat-ms", settings).unwrap();
}
