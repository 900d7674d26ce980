//! Reads INI text into sections whose keys know their lines.

use std::collections::HashMap;

use ini::Ini;
use ini::ParseOption;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::fault::Place;

/// The largest INI file that is read, in bytes.
pub const FILE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, without the blanks around it.
    pub value: String,
    /// Line of the key, from 1.
    pub line: u32,
}

/// One section: `[kind name]`, or `[kind]` where there is only one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawSection {
    /// File it stands in.
    pub file: String,
    /// First word of the header.
    pub kind: String,
    /// Rest of the header; may be empty.
    pub name: String,
    /// Line of the header, from 1.
    pub line: u32,
    /// Keys in the order of the file.
    pub entries: Vec<Entry>,
}

impl RawSection {
    /// The header as written.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }

    /// The place of a line in this section.
    pub fn place(&self, line: u32) -> Place {
        Place { file: self.file.clone(), line, section: self.header() }
    }
}

/// One INI file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniFile {
    /// Sections in the order of the file.
    pub sections: Vec<RawSection>,
}

/// Lines of headers and keys, which the INI library does not keep.
#[derive(Default)]
struct LineIndex {
    headers: HashMap<String, u32>,
    keys: HashMap<(String, String), u32>,
}

impl IniFile {
    /// Reads `text`; `file` is used in faults only.
    ///
    /// # Errors
    /// Text that is not INI, is too large, or repeats a section or key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        if text.len() > FILE_BYTES_MAX {
            let place = whole_file(file);
            faults.push(Fault::Size { place, bytes: text.len(), limit: FILE_BYTES_MAX });
            return Err(faults);
        }
        let index = LineIndex::build(file, text, &mut faults);
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => {
                let place = Place {
                    file: file.to_string(),
                    line: error.line as u32,
                    section: String::new(),
                };
                faults.push(Fault::Syntax { place, reason: error.msg.to_string() });
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
            let entries = properties
                .iter()
                .map(|(key, value)| Entry {
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
                entries,
            });
        }
        faults.check(Self { sections })
    }

    /// Reads raw bytes, which may not be UTF-8.
    ///
    /// # Errors
    /// As [`IniFile::parse`], and bytes that are not UTF-8.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::parse(file, text.trim_start_matches('\u{feff}')),
            Err(error) => {
                let before = &bytes[..error.valid_up_to()];
                let line = before.iter().filter(|byte| **byte == b'\n').count() as u32 + 1;
                let place = Place { file: file.to_string(), line, section: String::new() };
                let reason = "the text is not UTF-8".to_string();
                Err(Faults(vec![Fault::Syntax { place, reason }]))
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
            let place = Place { file: file.to_string(), line: number, section: section.clone() };
            if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                section = header.trim().to_string();
                if let Some(first) = index.headers.insert(section.clone(), number) {
                    let what = format!("section [{section}]");
                    faults.push(Fault::Duplicate { place, what, first });
                }
            } else if let Some(position) = line.find(['=', ':']) {
                let key = line[..position].trim().to_string();
                if let Some(first) = index.keys.insert((section.clone(), key.clone()), number) {
                    let what = format!("key {key:?}");
                    faults.push(Fault::Duplicate { place, what, first });
                }
            }
        }
        index
    }

    fn key_line(&self, section: &str, key: &str) -> u32 {
        self.keys.get(&(section.to_string(), key.to_string())).copied().unwrap_or(0)
    }
}

/// The place of a fault that concerns a whole file.
pub fn whole_file(file: &str) -> Place {
    Place { file: file.to_string(), line: 0, section: String::new() }
}
