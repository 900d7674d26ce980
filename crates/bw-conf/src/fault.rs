//! Faults of INI files, each with its place and what was expected.

use std::fmt;

/// Where a fault lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// File as the user named it.
    pub file: String,
    /// Line from 1; 0 when the fault concerns the whole file.
    pub line: u32,
    /// Section header; empty outside sections.
    pub section: String,
}

impl fmt::Display for Place {
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

/// One fault of an INI file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The text is not INI.
    Syntax {
        /// Where it stops being INI.
        place: Place,
        /// What the reader says.
        reason: String,
    },
    /// The file passes the size limit.
    Size {
        /// The file.
        place: Place,
        /// Size found, in bytes.
        bytes: usize,
        /// Limit, in bytes.
        limit: usize,
    },
    /// A section or key appears twice.
    Duplicate {
        /// The second appearance.
        place: Place,
        /// What appears twice.
        what: String,
        /// Line of the first appearance.
        first: u32,
    },
    /// A section of a kind that does not exist.
    Kind {
        /// The section.
        place: Place,
        /// Kinds that exist.
        expected: String,
    },
    /// A key that the section does not have.
    Unknown {
        /// The key's line.
        place: Place,
        /// The key.
        key: String,
        /// Keys that the section has.
        expected: String,
    },
    /// A key or section that must be there.
    Missing {
        /// The section.
        place: Place,
        /// The key or section.
        key: String,
        /// What its value should be.
        expected: String,
    },
    /// A value of the wrong form or out of range.
    Value {
        /// The key's line.
        place: Place,
        /// The key.
        key: String,
        /// The value found.
        value: String,
        /// What was expected.
        expected: String,
    },
    /// A name that refers to nothing.
    Reference {
        /// The key's line.
        place: Place,
        /// The key.
        key: String,
        /// The name found.
        value: String,
        /// What it should name.
        expected: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { place, reason } => write!(f, "{place}: not INI: {reason}"),
            Self::Size { place, bytes, limit } => {
                write!(f, "{place}: {bytes} bytes, at most {limit} are taken")
            }
            Self::Duplicate { place, what, first } => {
                write!(f, "{place}: {what} appears twice; first at line {first}")
            }
            Self::Kind { place, expected } => {
                write!(f, "{place}: no such section; expected one of {expected}")
            }
            Self::Unknown { place, key, expected } => {
                write!(f, "{place}: no such key {key:?}; expected one of {expected}")
            }
            Self::Missing { place, key, expected } => {
                write!(f, "{place}: {key:?} is missing; expected {expected}")
            }
            Self::Value { place, key, value, expected } => {
                write!(f, "{place}: {key} = {value:?}; expected {expected}")
            }
            Self::Reference { place, key, value, expected } => {
                write!(f, "{place}: {key} names {value:?}; expected {expected}")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// All faults of a set of files; never empty inside an `Err`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds one fault.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// `Ok(value)` when there is no fault, otherwise all of them.
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
