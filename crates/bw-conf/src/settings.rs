//! Typed access to the keys of a section; collects all faults instead of stopping at the first.

use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::reader::IniFile;
use crate::reader::Property;
use crate::reader::RawSection;

/// Parses and validates the content of a settings file.
///
/// # Errors
/// All faults with their locations.
pub fn parse_settings<T>(path: &Path, bytes: &[u8]) -> Result<T, Faults>
where
    T: for<'a> TryFrom<(&'a str, &'a IniFile), Error = Faults>,
{
    let file = path.display().to_string();
    let ini = IniFile::parse_bytes(&file, bytes)?;
    T::try_from((file.as_str(), &ini))
}

/// Reads typed values from a section and records the requested keys, to report unknown ones.
#[derive(Debug)]
pub struct Section<'a> {
    raw: &'a RawSection,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Wraps `raw` with no key requested so far.
    pub fn new(raw: &'a RawSection) -> Self {
        Self { raw, known: Vec::new() }
    }

    /// Returns the underlying section.
    pub fn raw(&self) -> &'a RawSection {
        self.raw
    }

    /// Returns the property with this key, if present, and marks the key as known.
    pub fn property(&mut self, key: &'static str) -> Option<&'a Property> {
        self.known.push(key);
        self.raw.properties.iter().find(|property| property.key == key)
    }

    /// Returns the value of a required key; reports a missing or invalid value as a fault.
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
        match self.property(key) {
            Some(property) => self.parse(property, expected, faults),
            None => {
                let location = self.raw.location(self.raw.line);
                let expected = expected.to_string();
                faults.push(Fault::Missing { location, key: key.to_string(), expected });
                None
            }
        }
    }

    /// Returns the value of an optional key, or `default` if the key is missing or invalid.
    ///
    /// An invalid value is also reported as a fault.
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
        match self.property(key) {
            Some(property) => self.parse(property, expected, faults).unwrap_or(default),
            None => default,
        }
    }

    /// Returns a number within `low..=high`, or `default` if the key is missing or invalid.
    ///
    /// An invalid value is also reported as a fault.
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
        let Some(property) = self.property(key) else {
            return default;
        };
        match self.parse::<T>(property, &expected, faults) {
            Some(value) if value >= low && value <= high => value,
            Some(_) => {
                self.report_value(property, &expected, faults);
                default
            }
            None => default,
        }
    }

    /// Returns a duration given in milliseconds, with range and default as in [`Section::ranged`].
    pub fn millis(
        &mut self,
        key: &'static str,
        range: (u64, u64),
        default: u64,
        faults: &mut Faults,
    ) -> Duration {
        Duration::from_millis(self.ranged(key, range, default, faults))
    }

    /// Returns the values of a comma-separated list; empty if the key is missing.
    pub fn list(&mut self, key: &'static str) -> Vec<String> {
        let Some(property) = self.property(key) else {
            return Vec::new();
        };
        let parts = property.value.split(',').map(str::trim);
        parts.filter(|part| !part.is_empty()).map(str::to_string).collect()
    }

    /// Reports the keys of the section that were never requested.
    pub fn finish(self, faults: &mut Faults) {
        for property in &self.raw.properties {
            if !self.known.contains(&property.key.as_str()) {
                let location = self.raw.location(property.line);
                let expected = self.known.join(", ");
                faults.push(Fault::UnknownKey { location, key: property.key.clone(), expected });
            }
        }
    }

    /// Reports the value of `property` as invalid; `expected` describes a valid one.
    pub fn report_value(&self, property: &Property, expected: &str, faults: &mut Faults) {
        faults.push(Fault::InvalidValue {
            location: self.raw.location(property.line),
            key: property.key.clone(),
            value: property.value.clone(),
            expected: expected.to_string(),
        });
    }

    /// Reports `value` under `key` as an invalid reference; `expected` describes a valid one.
    pub fn report_reference(&self, key: &str, value: &str, expected: &str, faults: &mut Faults) {
        let line = self
            .raw
            .properties
            .iter()
            .find(|property| property.key == key)
            .map_or(0, |property| property.line);
        faults.push(Fault::InvalidReference {
            location: self.raw.location(line),
            key: key.to_string(),
            value: value.to_string(),
            expected: expected.to_string(),
        });
    }

    fn parse<T>(&self, property: &Property, expected: &str, faults: &mut Faults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match property.value.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.report_value(property, expected, faults);
                None
            }
        }
    }
}

/// Returns the section of `kind` in a settings file, or an empty section.
///
/// Reading an empty section reports its required keys as missing.
pub fn settings_section(file: &str, ini: &IniFile, kind: &str) -> RawSection {
    let section = ini.sections.iter().find(|section| section.kind == kind);
    section.cloned().unwrap_or_else(|| RawSection {
        file: file.to_string(),
        kind: kind.to_string(),
        name: String::new(),
        line: 0,
        properties: Vec::new(),
    })
}

/// Reports sections of a settings file whose kind is not in `kinds`.
pub fn check_kinds(ini: &IniFile, kinds: &[&str], faults: &mut Faults) {
    for section in &ini.sections {
        if !kinds.contains(&section.kind.as_str()) {
            let location = section.location(section.line);
            faults.push(Fault::UnknownSection { location, expected: kinds.join(", ") });
        }
    }
}
