//! Compares the output of every file in `sessions` with the output recorded in the file.
//!
//! With `BW_BLESS=1` the files are rewritten with the actual output instead.

use std::path::Path;

use bw_golden::config::ConfigPlayer;
use bw_golden::once::OncePlayer;
use bw_golden::replay;
use bw_golden::switch::SwitchPlayer;
use bw_golden::Player;

fn check<P>(path: &Path, mut player: P) -> datatest_stable::Result<()>
where
    P: Player,
{
    let text = std::fs::read_to_string(path)?;
    let replayed = replay(&text, &mut player)?;
    if std::env::var_os("BW_BLESS").is_some() {
        std::fs::write(path, &replayed)?;
        return Ok(());
    }
    if replayed != text {
        return Err(format!(
            "{}: the output differs from the file; actual session:\n{replayed}",
            path.display()
        )
        .into());
    }
    Ok(())
}

fn once(path: &Path) -> datatest_stable::Result<()> {
    check(path, OncePlayer::default())
}

fn switch(path: &Path) -> datatest_stable::Result<()> {
    check(path, SwitchPlayer::default())
}

fn config(path: &Path) -> datatest_stable::Result<()> {
    check(path, ConfigPlayer::default())
}

datatest_stable::harness! {
    { test = once, root = "sessions/once", pattern = r"\.session$" },
    { test = switch, root = "sessions/switch", pattern = r"\.session$" },
    { test = config, root = "sessions/config", pattern = r"\.session$" },
}
