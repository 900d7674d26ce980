//! Reloading of the settings file: the process keeps running and logs the outcome of each reload.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use bw_fake::process::check_reload;

fn settings(ms: u32) -> String {
    format!("[agent]\ninstance = node-1\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\nbeat-ms = {ms}\n")
}

#[test]
fn sighup_reloads_the_reloadable_settings() {
    let program = Path::new(env!("CARGO_BIN_EXE_bw-agent"));
    check_reload(program, "beat-ms", settings).unwrap();
}
