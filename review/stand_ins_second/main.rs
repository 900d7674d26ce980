//! Cases of the review: `review-case CASE RECORD`. Exits with 0 if the rule held, 1 if it was broken and 2 if
//! the case could not run. `TROUBLE=0` leaves the disruption out.

mod crash;
mod fleet;
mod http;
mod json;
mod leave;
mod proxy;
mod query;
mod record;
mod server;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = record::Record::create(Path::new(path)) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {case} trouble={trouble}"));
    let held = match case.as_str() {
        "leave" => leave::run(&record, trouble),
        "crash" => crash::run(&record, trouble),
        "query" => query::run(&record, trouble),
        _ => None,
    };
    let (code, text) = match held {
        Some(true) => (0, "the rule held"),
        Some(false) => (1, "the rule was broken"),
        None => (2, "the case could not run"),
    };
    record.note(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
