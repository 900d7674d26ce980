//! Result lines.

use std::fmt::Display;

/// Prints `name{labels} value unit`.
pub fn print_row<V>(name: &str, labels: &[(&str, String)], value: V, unit: &str)
where
    V: Display,
{
    println!("{}", format_row(name, labels, value, unit));
}

/// The text of a result line.
pub fn format_row<V>(name: &str, labels: &[(&str, String)], value: V, unit: &str) -> String
where
    V: Display,
{
    let mut row = name.to_string();
    if !labels.is_empty() {
        let pairs: Vec<String> =
            labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
        row.push_str(&format!("{{{}}}", pairs.join(",")));
    }
    row.push_str(&format!(" {value}"));
    if !unit.is_empty() {
        row.push_str(&format!(" {unit}"));
    }
    row
}
