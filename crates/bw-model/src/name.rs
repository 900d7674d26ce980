//! Names of instances, data centres, workspaces and the like.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The longest name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

/// A checked name: 1 to 63 of the characters `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`NAME_BYTES_MAX`].
    Long(usize),
    /// The text holds a character that names may not hold.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name may not be empty"),
            Self::Long(len) => write!(f, "a name has at most {NAME_BYTES_MAX} bytes, not {len}"),
            Self::Character(c) => write!(f, "a name may not hold the character {c:?}"),
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// The name as text.
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
            return Err(NameError::Long(text.len()));
        }
        let wrong = text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.".contains(*c));
        match wrong {
            Some(c) => Err(NameError::Character(c)),
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
