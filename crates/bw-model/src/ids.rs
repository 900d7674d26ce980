//! Identifiers that processes exchange.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Identifies one dispatch of one request; every answer carries the id.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u128);

/// Identifies one run of a process; a restarted process uses a new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Fencing number of a lease; each new holder gets a higher number.
///
/// The high bits are the era of the store, which rises when the store loses what it had acknowledged, so
/// that a number lost with it is not handed out again. The low bits count the holders over all eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// Number of low bits of a fencing number that count the holders; sufficient for a million of them.
const FENCE_HOLDER_BITS: u32 = 20;

impl Fence {
    /// Returns the number of the `holder`th holder, in an era of the store.
    pub fn new(era: u64, holder: u64) -> Self {
        Self(era << FENCE_HOLDER_BITS | holder & Self::HOLDER_MASK)
    }

    const HOLDER_MASK: u64 = (1 << FENCE_HOLDER_BITS) - 1;

    /// Returns the era of the store in which the holder acquired the lease.
    pub fn era(self) -> u64 {
        self.0 >> FENCE_HOLDER_BITS
    }

    /// Returns the number of the holder, counted over all eras.
    pub fn holder(self) -> u64 {
        self.0 & Self::HOLDER_MASK
    }
}

/// Place in the changes of the store: its era and, within the era, the revision.
///
/// A store that returns from an older copy of itself starts a new era and gives the revisions after that
/// copy out again, so that a revision alone neither orders nor identifies anything.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position(u64);

/// Number of low bits of a position that hold the revision.
const REVISION_BITS: u32 = 48;

impl Position {
    const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

    /// Returns the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self(era << REVISION_BITS | revision & Self::REVISION_MASK)
    }

    /// Returns the era of the store.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision within the era.
    pub fn revision(self) -> u64 {
        self.0 & Self::REVISION_MASK
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era(), self.revision())
    }
}

/// Version of the accepted configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// Version of a group's expert map.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct MapVersion(pub u64);

/// Hash of an idempotency key, scoped to its workspace and service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AttemptId({:x})", self.0)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:x})", self.0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for MapVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Serializes a 128-bit id as hexadecimal digits in text formats and as a number in binary formats.
fn serialize_id<S>(value: u128, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    if serializer.is_human_readable() {
        serializer.serialize_str(&format!("{value:032x}"))
    } else {
        serializer.serialize_u128(value)
    }
}

fn deserialize_id<'de, D>(deserializer: D) -> Result<u128, D::Error>
where
    D: Deserializer<'de>,
{
    if deserializer.is_human_readable() {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    } else {
        u128::deserialize(deserializer)
    }
}

impl Serialize for AttemptId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serialize_id(self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserialize_id(deserializer).map(Self)
    }
}

impl Serialize for KeyHash {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serialize_id(self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserialize_id(deserializer).map(Self)
    }
}
