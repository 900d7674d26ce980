//! Parses INI text into sections and records the line number of every header and key.

use std::collections::HashMap;

use ini::Ini;
use ini::ParseOption;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::fault::Location;

/// Maximum size of an INI file, in bytes.
pub const FILE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Property {
    /// Key without surrounding blanks.
    pub key: String,
    /// Value without surrounding blanks.
    pub value: String,
    /// Line number of the key, counted from 1; 0 if unknown.
    pub line: u32,
}

/// An unvalidated section, with a header `[kind name]`, or `[kind]` for kinds without names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawSection {
    /// File that contains the section.
    pub file: String,
    /// First word of the header.
    pub kind: String,
    /// Remainder of the header; may be empty.
    pub name: String,
    /// Line number of the header, counted from 1; 0 if unknown.
    pub line: u32,
    /// Keys with their values, in file order.
    pub properties: Vec<Property>,
}

impl RawSection {
    /// Returns the header without its brackets.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }

    /// Returns the location of `line` in this section.
    pub fn location(&self, line: u32) -> Location {
        Location { file: self.file.clone(), line, section: self.header() }
    }
}

/// A parsed INI file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniFile {
    /// Sections in file order.
    pub sections: Vec<RawSection>,
}

/// Line numbers of headers and keys, which the INI library does not report.
#[derive(Default)]
struct LineIndex {
    headers: HashMap<String, u32>,
    keys: HashMap<(String, String), u32>,
}

impl IniFile {
    /// Parses `text`; `file` is only used in faults.
    ///
    /// # Errors
    /// The text is not valid INI, is too large, or repeats a section or key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        if text.len() > FILE_BYTES_MAX {
            let location = file_location(file);
            faults.push(Fault::TooLarge { location, bytes: text.len(), limit: FILE_BYTES_MAX });
            return Err(faults);
        }
        let index = LineIndex::build(file, text, &mut faults);
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => {
                let location = Location {
                    file: file.to_string(),
                    line: error.line as u32,
                    section: String::new(),
                };
                faults.push(Fault::Syntax { location, reason: error.msg.to_string() });
                return Err(faults);
            }
        };
        let mut sections = Vec::new();
        for (header, properties) in ini.iter() {
            let header = header.unwrap_or("").trim();
            if header.is_empty() && properties.is_empty() {
                continue;
            }
            let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
            let properties = properties
                .iter()
                .map(|(key, value)| Property {
                    key: key.trim().to_string(),
                    value: value.trim().to_string(),
                    line: index.key_line(header, key.trim()),
                })
                .collect();
            sections.push(RawSection {
                file: file.to_string(),
                kind: kind.to_string(),
                name: name.trim().to_string(),
                line: index.headers.get(header).copied().unwrap_or(0),
                properties,
            });
        }
        faults.check(Self { sections })
    }

    /// Parses raw bytes, which may be invalid UTF-8 or begin with a byte order mark.
    ///
    /// # Errors
    /// As [`IniFile::parse`]; also bytes that are not valid UTF-8.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::parse(file, text.trim_start_matches('\u{feff}')),
            Err(error) => {
                let before = &bytes[..error.valid_up_to()];
                let line = before.iter().filter(|byte| **byte == b'\n').count() as u32 + 1;
                let location = Location { file: file.to_string(), line, section: String::new() };
                let reason = "the text is not UTF-8".to_string();
                Err(Faults(vec![Fault::Syntax { location, reason }]))
            }
        }
    }
}

impl LineIndex {
    fn build(file: &str, text: &str, faults: &mut Faults) -> Self {
        let mut index = Self::default();
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let number = number as u32 + 1;
            let line = line.trim();
            if line.starts_with('#') || line.starts_with(';') {
                continue;
            }
            let location =
                Location { file: file.to_string(), line: number, section: section.clone() };
            if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                section = header.trim().to_string();
                if let Some(first) = index.headers.insert(section.clone(), number) {
                    let what = format!("section [{section}]");
                    faults.push(Fault::Duplicate { location, what, first });
                }
            } else if let Some(position) = line.find(['=', ':']) {
                let key = line[..position].trim().to_string();
                if let Some(first) = index.keys.insert((section.clone(), key.clone()), number) {
                    let what = format!("key {key:?}");
                    faults.push(Fault::Duplicate { location, what, first });
                }
            }
        }
        index
    }

    fn key_line(&self, section: &str, key: &str) -> u32 {
        self.keys.get(&(section.to_string(), key.to_string())).copied().unwrap_or(0)
    }
}

/// Returns the location of a fault that concerns a whole file.
pub fn file_location(file: &str) -> Location {
    Location { file: file.to_string(), line: 0, section: String::new() }
}
