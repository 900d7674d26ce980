//! `bwctl show`: prints the accepted configuration as INI.
//!
//! ```text
//! $ bwctl show --platform http://10.0.0.2:6443
//! # version 8
//! [balance]
//! move-price = 0.5
//! ```

use argh::FromArgs;

use crate::error::CtlError;
use crate::files::open_store;

/// Printed when the store may have lost a later version.
const RESTORED: &str = "# The store was restored after this version was accepted. Later versions may be lost \
                        but still in force;\n# see `bwctl status`, and apply the configuration again.\n";

/// print the accepted configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// address of the object store
    #[argh(option)]
    platform: String,
}

impl Show {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// An unavailable object store.
    pub async fn run(&self) -> Result<String, CtlError> {
        let store = open_store(&self.platform)?;
        let read = store.head().await?;
        let document = store.document(&read.head).await?;
        let mut output = format!("# version {}\n", read.head.version);
        if read.is_restored() {
            output.push_str(RESTORED);
        }
        output.push_str(document.to_text().trim_end());
        Ok(output)
    }
}
