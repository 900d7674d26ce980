//! Faults in INI files, each with its location and the expected input.

use std::fmt;

/// Location of a fault.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Path as the user gave it.
    pub file: String,
    /// Line number, counted from 1; 0 when the fault concerns the whole file.
    pub line: u32,
    /// Section header; empty outside of sections.
    pub section: String,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        Ok(())
    }
}

/// One fault in an INI file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The text is not valid INI or not UTF-8.
    Syntax {
        /// Where parsing failed.
        location: Location,
        /// Message of the parser.
        reason: String,
    },
    /// The file exceeds the size limit.
    TooLarge {
        /// The file that is too large.
        location: Location,
        /// Size of the file, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// A section or key appears twice.
    Duplicate {
        /// Where the second one is.
        location: Location,
        /// The section or key.
        what: String,
        /// Line number of the first one.
        first: u32,
    },
    /// The section kind does not exist.
    UnknownSection {
        /// The section.
        location: Location,
        /// Existing kinds, separated by commas.
        expected: String,
    },
    /// The section kind does not have the key.
    UnknownKey {
        /// Line of the key.
        location: Location,
        /// The key.
        key: String,
        /// Valid keys, separated by commas.
        expected: String,
    },
    /// A required key or section is missing.
    Missing {
        /// The section or file that lacks it.
        location: Location,
        /// The missing key or section.
        key: String,
        /// Description of a valid value.
        expected: String,
    },
    /// The value is malformed or out of range.
    InvalidValue {
        /// Line of the key.
        location: Location,
        /// The key.
        key: String,
        /// The invalid value.
        value: String,
        /// Description of a valid value.
        expected: String,
    },
    /// A value refers to something that does not exist or must not be referred to here.
    InvalidReference {
        /// Line of the key.
        location: Location,
        /// The key.
        key: String,
        /// The invalid reference.
        value: String,
        /// Description of a valid reference.
        expected: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { location, reason } => write!(f, "{location}: not INI: {reason}"),
            Self::TooLarge { location, bytes, limit } => {
                write!(f, "{location}: the file has {bytes} bytes, the maximum is {limit}")
            }
            Self::Duplicate { location, what, first } => {
                write!(f, "{location}: {what} appears twice; first at line {first}")
            }
            Self::UnknownSection { location, expected } => {
                write!(f, "{location}: no such section; expected one of {expected}")
            }
            Self::UnknownKey { location, key, expected } => {
                write!(f, "{location}: no such key {key:?}; expected one of {expected}")
            }
            Self::Missing { location, key, expected } => {
                write!(f, "{location}: {key:?} is missing; expected {expected}")
            }
            Self::InvalidValue { location, key, value, expected } => {
                write!(f, "{location}: {key} = {value:?}; expected {expected}")
            }
            Self::InvalidReference { location, key, value, expected } => {
                write!(f, "{location}: {key} names {value:?}; expected {expected}")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// All faults found in a set of files; an `Err` always has at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Appends a fault.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    /// All faults.
    pub fn check<T>(self, value: T) -> Result<T, Faults> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
