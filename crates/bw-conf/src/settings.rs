//! Typed access to one section that collects every fault instead of stopping at the first.

use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::reader::Entry;
use crate::reader::IniFile;
use crate::reader::RawSection;

/// Reads and checks the content of a settings file.
///
/// # Errors
/// All faults with their places.
pub fn parse_settings<T>(path: &Path, bytes: &[u8]) -> Result<T, Faults>
where
    T: for<'a> TryFrom<(&'a str, &'a IniFile), Error = Faults>,
{
    let file = path.display().to_string();
    let ini = IniFile::parse_bytes(&file, bytes)?;
    T::try_from((file.as_str(), &ini))
}

/// Reads the keys of one section and remembers which ones it was asked for.
#[derive(Debug)]
pub struct Section<'a> {
    raw: &'a RawSection,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Starts reading `raw`.
    pub fn new(raw: &'a RawSection) -> Self {
        Self { raw, known: Vec::new() }
    }

    /// The section itself.
    pub fn raw(&self) -> &'a RawSection {
        self.raw
    }

    /// The entry of `key`, which counts as known from now on.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.push(key);
        self.raw.entries.iter().find(|entry| entry.key == key)
    }

    /// The value of a key that must be there.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        faults: &mut Faults,
    ) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.entry(key) {
            Some(entry) => self.parse(entry, expected, faults),
            None => {
                let place = self.raw.place(self.raw.line);
                let expected = expected.to_string();
                faults.push(Fault::Missing { place, key: key.to_string(), expected });
                None
            }
        }
    }

    /// The value of a key, or `default` where the key is not there.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: T,
        faults: &mut Faults,
    ) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.entry(key) {
            Some(entry) => self.parse(entry, expected, faults).unwrap_or(default),
            None => default,
        }
    }

    /// A number within `low..=high`, or `default` where the key is not there.
    pub fn ranged<T>(
        &mut self,
        key: &'static str,
        (low, high): (T, T),
        default: T,
        faults: &mut Faults,
    ) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
        T::Err: Display,
    {
        let expected = format!("a number from {low} to {high}");
        let Some(entry) = self.entry(key) else {
            return default;
        };
        match self.parse::<T>(entry, &expected, faults) {
            Some(value) if value >= low && value <= high => value,
            Some(_) => {
                self.fault_value(entry, &expected, faults);
                default
            }
            None => default,
        }
    }

    /// A time span in milliseconds within `low..=high`.
    pub fn millis(
        &mut self,
        key: &'static str,
        range: (u64, u64),
        default: u64,
        faults: &mut Faults,
    ) -> Duration {
        Duration::from_millis(self.ranged(key, range, default, faults))
    }

    /// The values of a comma-separated key; empty where the key is not there.
    pub fn list(&mut self, key: &'static str) -> Vec<String> {
        let Some(entry) = self.entry(key) else {
            return Vec::new();
        };
        let parts = entry.value.split(',').map(str::trim);
        parts.filter(|part| !part.is_empty()).map(str::to_string).collect()
    }

    /// Reports keys that nothing asked for.
    pub fn finish(self, faults: &mut Faults) {
        for entry in &self.raw.entries {
            if !self.known.contains(&entry.key.as_str()) {
                let place = self.raw.place(entry.line);
                let expected = self.known.join(", ");
                faults.push(Fault::Unknown { place, key: entry.key.clone(), expected });
            }
        }
    }

    /// Reports that the value of `entry` is not what was expected.
    pub fn fault_value(&self, entry: &Entry, expected: &str, faults: &mut Faults) {
        faults.push(Fault::Value {
            place: self.raw.place(entry.line),
            key: entry.key.clone(),
            value: entry.value.clone(),
            expected: expected.to_string(),
        });
    }

    /// Reports that `value` under `key` names nothing.
    pub fn fault_reference(&self, key: &str, value: &str, expected: &str, faults: &mut Faults) {
        let line = self.raw.entries.iter().find(|entry| entry.key == key).map_or(0, |e| e.line);
        faults.push(Fault::Reference {
            place: self.raw.place(line),
            key: key.to_string(),
            value: value.to_string(),
            expected: expected.to_string(),
        });
    }

    fn parse<T>(&self, entry: &Entry, expected: &str, faults: &mut Faults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.fault_value(entry, expected, faults);
                None
            }
        }
    }
}

/// The section of `kind` in a settings file, or an empty one that reports missing keys.
pub fn settings_section(file: &str, ini: &IniFile, kind: &str) -> RawSection {
    let found = ini.sections.iter().find(|section| section.kind == kind);
    found.cloned().unwrap_or_else(|| RawSection {
        file: file.to_string(),
        kind: kind.to_string(),
        name: String::new(),
        line: 0,
        entries: Vec::new(),
    })
}

/// Reports sections of a settings file whose kind is not in `kinds`.
pub fn check_kinds(ini: &IniFile, kinds: &[&str], faults: &mut Faults) {
    for section in &ini.sections {
        if !kinds.contains(&section.kind.as_str()) {
            let place = section.place(section.line);
            faults.push(Fault::Kind { place, expected: kinds.join(", ") });
        }
    }
}
