//! Checks reloads of the settings by SIGHUP and by a changed file: the process keeps running, logs
//! the result and refuses settings with faults.

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
fn hangup_reloads_settings() {
    let program = Path::new(env!("CARGO_BIN_EXE_bw-entry"));
    check_reload(program, "progress-ms", settings).unwrap();
}
