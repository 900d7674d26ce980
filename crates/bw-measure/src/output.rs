//! Lines of output, `name{label=value,...} value unit`.

use std::fmt::Display;

/// Prints a result line to stdout.
pub fn print_row<V>(name: &str, labels: &[(&str, String)], value: V, unit: &str)
where
    V: Display,
{
    println!("{}", format_row(name, labels, value, unit));
}

/// Formats a result line; braces and unit are left out if there are no labels or no unit.
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
