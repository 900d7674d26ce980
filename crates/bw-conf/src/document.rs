//! A configuration as a set of sections, split into parts and compared section by section.

use std::collections::BTreeMap;

use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::reader::IniFile;
use crate::reader::Property;
use crate::reader::RawSection;

/// Keys and values of one section, in file order.
pub type Keys = Vec<(String, String)>;

/// Sections of inventory and rules combined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Keys and values by section header.
    pub sections: BTreeMap<String, Keys>,
}

/// Difference between two versions of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the change applies to.
    pub from: Version,
    /// Version after the change.
    pub to: Version,
    /// Added and changed sections, with all their keys.
    pub changed: BTreeMap<String, Keys>,
    /// Headers of removed sections.
    pub removed: Vec<String>,
}

/// Configuration data that a process sends to one with an older version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The receiver already has this version or a newer one.
    Current(Version),
    /// The change from the receiver's version.
    Delta(Delta),
    /// The complete configuration and its version.
    Whole(Version, Document),
}

impl Document {
    /// Merges the sections of several files; a later section replaces an earlier one with the same
    /// header.
    pub fn from_files(files: &[IniFile]) -> Self {
        let mut sections = BTreeMap::new();
        for section in files.iter().flat_map(|file| &file.sections) {
            let keys =
                section.properties.iter().map(|p| (p.key.clone(), p.value.clone())).collect();
            sections.insert(section.header(), keys);
        }
        Self { sections }
    }

    /// Converts the document to sections for validation; faults name `file` as their file.
    pub fn to_file(&self, file: &str) -> IniFile {
        let mut sections = Vec::new();
        for (header, keys) in &self.sections {
            let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
            let properties = keys.iter().map(|(key, value)| Property {
                key: key.clone(),
                value: value.clone(),
                line: 0,
            });
            sections.push(RawSection {
                file: file.to_string(),
                kind: kind.to_string(),
                name: name.to_string(),
                line: 0,
                properties: properties.collect(),
            });
        }
        IniFile { sections }
    }

    /// Returns the change from this document at version `from` to `next` at version `to`.
    pub fn delta(&self, from: Version, next: &Document, to: Version) -> Delta {
        let changed = next
            .sections
            .iter()
            .filter(|(header, keys)| self.sections.get(*header) != Some(keys))
            .map(|(header, keys)| (header.clone(), keys.clone()))
            .collect();
        let removed =
            self.sections.keys().filter(|header| !next.sections.contains_key(*header)).cloned();
        Delta { from, to, changed, removed: removed.collect() }
    }

    /// Applies a change whose `from` is this document's version.
    pub fn apply(&mut self, delta: &Delta) {
        for header in &delta.removed {
            self.sections.remove(header);
        }
        for (header, keys) in &delta.changed {
            self.sections.insert(header.clone(), keys.clone());
        }
    }

    /// Splits the document into `count` parts by the hash of each section header.
    ///
    /// A change to one section affects only one part.
    pub fn parts(&self, count: usize) -> Vec<Document> {
        let mut parts = vec![Document::default(); count.max(1)];
        for (header, keys) in &self.sections {
            let hash = blake3::hash(header.as_bytes());
            let index = usize::from(hash.as_bytes()[0]) % parts.len();
            parts[index].sections.insert(header.clone(), keys.clone());
        }
        parts
    }

    /// Merges the parts returned by [`Document::parts`].
    pub fn join(parts: Vec<Document>) -> Document {
        let sections = parts.into_iter().flat_map(|part| part.sections).collect();
        Document { sections }
    }

    /// Returns the size of the INI text in bytes, without the blank lines between sections.
    pub fn bytes(&self) -> usize {
        let keys = |keys: &Keys| keys.iter().map(|(k, v)| k.len() + v.len() + 4).sum::<usize>();
        self.sections.iter().map(|(header, k)| header.len() + 3 + keys(k)).sum()
    }

    /// Formats the document as INI text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (header, keys) in &self.sections {
            text.push_str(&format!("[{header}]\n"));
            for (key, value) in keys {
                text.push_str(&format!("{key} = {value}\n"));
            }
            text.push('\n');
        }
        text
    }
}

impl Delta {
    /// Returns one line per differing section: `+` for added or changed, `-` for removed.
    pub fn summary(&self) -> Vec<String> {
        let changed = self.changed.keys().map(|header| format!("+ [{header}]"));
        let removed = self.removed.iter().map(|header| format!("- [{header}]"));
        changed.chain(removed).collect()
    }
}
