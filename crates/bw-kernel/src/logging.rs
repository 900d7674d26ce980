//! Log lines in one `key=value` form.

use std::fmt;
use std::io::Write;

use crate::time::unix_millis;

/// Starts the logger; `filter` is used where `RUST_LOG` is not set.
///
/// Each line reads `time=… level=… process=… module=… event=…` and then the event's own fields.
pub fn start_logger(process: &str, filter: &str) {
    let process = process.to_string();
    let environment = env_logger::Env::default().default_filter_or(filter);
    let mut builder = env_logger::Builder::from_env(environment);
    builder.format(move |out, record| {
        writeln!(
            out,
            "time={} level={} process={process} module={} {}",
            unix_millis(),
            record.level().as_str().to_ascii_lowercase(),
            record.target(),
            record.args(),
        )
    });
    // A second start, as in tests, keeps the first logger.
    let _ = builder.try_init();
}

/// Shows a value quoted when it holds blanks or quotes, so that lines stay parseable.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !self.0.is_empty() && self.0.chars().all(plain) {
            f.write_str(self.0)
        } else {
            write!(f, "{:?}", self.0)
        }
    }
}
