//! A configuration as a set of sections, cut into parts and compared section by section.

use std::collections::BTreeMap;

use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::reader::Entry;
use crate::reader::IniFile;
use crate::reader::RawSection;

/// Keys and values of one section in the order of the file.
pub type Keys = Vec<(String, String)>;

/// Inventory and rules together, by section header.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Section header to its keys.
    pub sections: BTreeMap<String, Keys>,
}

/// The change from one version to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version it starts from.
    pub from: Version,
    /// Version it leads to.
    pub to: Version,
    /// New and changed sections.
    pub changed: BTreeMap<String, Keys>,
    /// Headers of the sections that went away.
    pub removed: Vec<String>,
}

/// What one process sends another that has an older version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The receiver has this version or a newer one.
    Current(Version),
    /// A change from the version the receiver has.
    Delta(Delta),
    /// The whole configuration.
    Whole(Version, Document),
}

impl Document {
    /// Joins the sections of several files; a later one replaces an earlier one.
    pub fn from_files(files: &[IniFile]) -> Self {
        let mut sections = BTreeMap::new();
        for section in files.iter().flat_map(|file| &file.sections) {
            let keys = section.entries.iter().map(|e| (e.key.clone(), e.value.clone())).collect();
            sections.insert(section.header(), keys);
        }
        Self { sections }
    }

    /// The document as sections, for checking; `file` is used in faults.
    pub fn to_file(&self, file: &str) -> IniFile {
        let mut sections = Vec::new();
        for (header, keys) in &self.sections {
            let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
            let entries = keys.iter().map(|(key, value)| Entry {
                key: key.clone(),
                value: value.clone(),
                line: 0,
            });
            sections.push(RawSection {
                file: file.to_string(),
                kind: kind.to_string(),
                name: name.to_string(),
                line: 0,
                entries: entries.collect(),
            });
        }
        IniFile { sections }
    }

    /// The change that leads from this document to `next`.
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

    /// Applies a change that starts from this document's version.
    pub fn apply(&mut self, delta: &Delta) {
        for header in &delta.removed {
            self.sections.remove(header);
        }
        for (header, keys) in &delta.changed {
            self.sections.insert(header.clone(), keys.clone());
        }
    }

    /// Cuts the document into `count` parts by the hash of the section header.
    ///
    /// A change of one section touches one part only.
    pub fn parts(&self, count: usize) -> Vec<Document> {
        let mut parts = vec![Document::default(); count.max(1)];
        for (header, keys) in &self.sections {
            let hash = blake3::hash(header.as_bytes());
            let index = usize::from(hash.as_bytes()[0]) % parts.len();
            parts[index].sections.insert(header.clone(), keys.clone());
        }
        parts
    }

    /// Joins parts again.
    pub fn join(parts: Vec<Document>) -> Document {
        let sections = parts.into_iter().flat_map(|part| part.sections).collect();
        Document { sections }
    }

    /// Size of the text, in bytes.
    pub fn bytes(&self) -> usize {
        let keys = |keys: &Keys| keys.iter().map(|(k, v)| k.len() + v.len() + 4).sum::<usize>();
        self.sections.iter().map(|(header, k)| header.len() + 3 + keys(k)).sum()
    }

    /// The document as INI text.
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
    /// One line for each section that differs: `+` new or changed, `-` removed.
    pub fn summary(&self) -> Vec<String> {
        let changed = self.changed.keys().map(|header| format!("+ [{header}]"));
        let removed = self.removed.iter().map(|header| format!("- [{header}]"));
        changed.chain(removed).collect()
    }
}
