//! `bwctl check`: validates inventory and rules without changing anything.
//!
//! ```text
//! $ bwctl check examples/lipnik/inventory.ini examples/lipnik/rules.ini
//! ok: 3 data centres, 25 instances, 7 endpoints, 10 workspaces
//! ```

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::CtlError;
use crate::files::read_files;

/// validate inventory and rules; reports every fault with its location
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files of inventory and rules
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Check {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// All faults in the files.
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
