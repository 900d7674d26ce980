//! Signals and a settings file that changes: the process goes on, and says what it did.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use bw_fake::process::check_reload;

fn settings(progress: u32) -> String {
    format!(
        "[entry]\ninstance = entry-1\ndata-centre = a\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         platform = http://127.0.0.1:1\nprogress-ms = {progress}\n"
    )
}

#[test]
fn a_hangup_reloads_what_can_be_reloaded() {
    let program = Path::new(env!("CARGO_BIN_EXE_bw-entry"));
    check_reload(program, "progress-ms", settings).unwrap();
}
