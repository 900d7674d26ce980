//! Validated names of instances, data centres, workspaces and other configured objects.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

/// A validated name: 1 to 63 of the characters `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`NAME_BYTES_MAX`]; the value is its length in bytes.
    TooLong(usize),
    /// The text contains a character that is not allowed in names.
    InvalidCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name must not be empty"),
            Self::TooLong(len) => {
                write!(f, "a name has at most {NAME_BYTES_MAX} bytes, this one has {len}")
            }
            Self::InvalidCharacter(c) => write!(f, "a name must not contain the character {c:?}"),
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > NAME_BYTES_MAX {
            return Err(NameError::TooLong(text.len()));
        }
        let invalid = text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.".contains(*c));
        match invalid {
            Some(c) => Err(NameError::InvalidCharacter(c)),
            None => Ok(Self(text.to_string())),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::try_from(text.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::try_from(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
