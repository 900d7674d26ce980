//! `bwctl token`: prints the hash of a bearer token as a line for the rules.
//!
//! ```text
//! $ printf %s secret | bwctl token
//! token-hash = 9cdbd6d6bd7da0ef…
//! ```

use std::io::Read;

use argh::FromArgs;

use crate::error::CtlError;

/// print the token-hash of a bearer token read from standard input
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "token")]
pub struct Token {}

impl Token {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// Standard input cannot be read or contains only blanks.
    pub fn run(&self) -> Result<String, CtlError> {
        let mut token = String::new();
        std::io::stdin()
            .read_to_string(&mut token)
            .map_err(|error| CtlError::File { file: "standard input".to_string(), error })?;
        let token = token.trim();
        if token.is_empty() {
            return Err(CtlError::Usage("the token is empty".to_string()));
        }
        Ok(format!("token-hash = {}", blake3::hash(token.as_bytes()).to_hex()))
    }
}
