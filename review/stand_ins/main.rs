//! Scripted cases: gateways as processes, with stand-ins for the store, the servers and the requesters.
//!
//! Call: `harness CASE FOLDER`, in the repository's root. Writes `record.txt` into the folder. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod fleet;
mod http;
mod json;
mod leave;
mod proxy;
mod rank;
mod restore;
mod server;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case: whether the rule held, and the lines of the record.
pub struct Verdict {
    /// Whether the rule held.
    pub held: bool,
    /// What was sent, answered and run.
    pub record: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = std::fs::create_dir_all(&scratch).map_err(|error| error.to_string()).and_then(|()| {
        match case.as_str() {
            "foreign" => leave::after_foreign_entry(trouble, &scratch),
            "spoiled" => crash::after_spoiled_lists(trouble, &scratch),
            "outage" => leave::after_outage(trouble, &scratch),
            "drill" => restore::after_drill(trouble, &scratch),
            "hiccup" => leave::after_hiccup(trouble, &scratch),
            _ => Err(format!("no case {case}")),
        }
    });
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("logs are kept in {}", scratch.display());
    }
    let (code, mut record) = match result {
        Ok(Verdict { held: true, record }) => (0, record),
        Ok(Verdict { held: false, record }) => (1, record),
        Err(error) => (2, vec![format!("could not run: {error}")]),
    };
    let words = ["the rule held", "the rule was broken", "the case could not run"];
    record.insert(0, format!("trouble={} result: {}", u8::from(trouble), words[usize::from(code)]));
    println!("{}", record.iter().take(12).cloned().collect::<Vec<String>>().join("\n"));
    let text = record.join("\n") + "\n";
    if let Err(error) = std::fs::write(Path::new(folder).join("record.txt"), text) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
