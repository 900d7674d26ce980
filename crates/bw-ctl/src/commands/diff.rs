//! `bwctl diff`: shows what applying the files would change.
//!
//! ```text
//! $ bwctl diff --platform http://10.0.0.2:6443 inventory.ini rules.ini
//! version 7, 1 sections differ
//! + [workspace archive]
//! ```

use std::path::PathBuf;

use argh::FromArgs;
use bw_model::Version;

use crate::error::CtlError;
use crate::files::open_store;
use crate::files::read_files;

/// show the sections in which the files differ from the accepted configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// address of the object store
    #[argh(option)]
    platform: String,
    /// files of inventory and rules
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Diff {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// Faults in the files, or an unavailable object store.
    pub async fn run(&self) -> Result<String, CtlError> {
        let files = read_files(&self.files)?;
        let store = open_store(&self.platform)?;
        let read = store.head().await?;
        let accepted = store.document(&read.head).await?;
        let version = read.head.version;
        let delta = accepted.delta(version, &files.document, Version(version.0 + 1));
        let lines = delta.summary();
        let mut output = format!("version {version}, {} sections differ", lines.len());
        for line in lines {
            output.push('\n');
            output.push_str(&line);
        }
        Ok(output)
    }
}
