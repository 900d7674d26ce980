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
        Ok(format!("# version {}\n{}", read.head.version, document.to_text().trim_end()))
    }
}
