//! `bwctl check`: checks inventory and rules without changing anything.
//!
//! ```text
//! $ bwctl check examples/lipnik/inventory.ini examples/lipnik/rules.ini
//! ok: 3 data centres, 25 instances, 5 endpoints, 10 workspaces
//! ```

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::CtlError;
use crate::files::read_files;

/// check inventory and rules; reports every fault with its place
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files of inventory and rules
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Check {
    /// Runs the command and returns its output.
    ///
    /// # Errors
    /// Every fault of the files.
    pub fn run(&self) -> Result<String, CtlError> {
        let files = read_files(&self.files)?;
        let fleet = &files.fleet;
        Ok(format!(
            "ok: {} data centres, {} instances, {} endpoints, {} workspaces",
            fleet.centres.len(),
            fleet.instances.len(),
            fleet.endpoints.len(),
            fleet.workspaces.len(),
        ))
    }
}
