//! Sessions of the configuration: the newest version in the store (the head), operators who change
//! it, and processes that forward versions to each other.

use std::collections::BTreeMap;

use bw_conf::Document;
use bw_conf::Update;
use bw_model::Version;

use crate::Player;

/// A version of the configuration with its document.
#[derive(Clone, Default)]
struct Snapshot {
    version: Version,
    document: Document,
}

/// Player for one configuration.
///
/// Commands: `store down` (any other word: up), `operator O reads`,
/// `operator O applies SECTION VALUE [lost|outage]`, `P reads` (from the store),
/// `P fetches Q [late NAME]`, `P takes NAME` (accepts a late update), `versions`.
#[derive(Default)]
pub struct ConfigPlayer {
    head: Snapshot,
    /// Nonce of the write that made the head.
    head_nonce: String,
    /// Whether the store is down.
    unavailable: bool,
    /// Snapshot that each operator has read last.
    operators: BTreeMap<String, Snapshot>,
    /// Snapshot that is in force at each process.
    processes: BTreeMap<String, Snapshot>,
    /// Updates in flight, by the name given in the `fetches` command.
    late_updates: BTreeMap<String, Update>,
}

impl Player for ConfigPlayer {
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String> {
        match words {
            ["store", state] => {
                self.unavailable = *state == "down";
                Ok(Vec::new())
            }
            ["operator", name, "reads"] => {
                if self.unavailable {
                    return Ok(vec!["unavailable".to_string()]);
                }
                self.operators.insert(name.to_string(), self.head.clone());
                Ok(vec![format!("version {}", self.head.version)])
            }
            ["operator", name, "applies", section, value, fault @ ..] => {
                self.apply(name, section, value, fault.first().copied())
            }
            [process, "reads"] => {
                if self.unavailable {
                    return Ok(vec!["unavailable".to_string()]);
                }
                let head = self.head.clone();
                Ok(vec![self.accept(process, Update::Whole(head.version, head.document))])
            }
            [process, "fetches", peer, late @ ..] => {
                let update = self.update_for(process, peer);
                if let ["late", name] = late {
                    self.late_updates.insert(name.to_string(), update);
                    return Ok(vec!["the update is on its way".to_string()]);
                }
                Ok(vec![self.accept(process, update)])
            }
            [process, "takes", name] => {
                let update = self.late_updates.get(*name).cloned().ok_or("unknown update")?;
                Ok(vec![self.accept(process, update)])
            }
            ["versions"] => {
                let line = |(name, snapshot): (&String, &Snapshot)| {
                    format!("{name}: {}", snapshot.version)
                };
                Ok(self.processes.iter().map(line).collect())
            }
            _ => Err(format!("unknown command: {}", words.join(" "))),
        }
    }
}

impl ConfigPlayer {
    /// Writes an operator's change if the head is still the version that the operator has read. The
    /// nonce shows whether a write took effect whose answer was lost.
    fn apply(
        &mut self,
        name: &str,
        section: &str,
        value: &str,
        fault: Option<&str>,
    ) -> Result<Vec<String>, String> {
        let read = self.operators.get(name).cloned().unwrap_or_default();
        if self.unavailable || fault == Some("outage") {
            return Ok(vec!["unavailable; nothing is changed".to_string()]);
        }
        let mut document = read.document.clone();
        let keys = vec![("value".to_string(), value.to_string())];
        document.sections.insert(section.to_string(), keys);
        let nonce = format!("{name}-{section}-{value}");
        if read.version == self.head.version {
            self.head =
                Snapshot { version: Version(read.version.0 + 1), document: document.clone() };
            self.head_nonce.clone_from(&nonce);
        }
        if self.head_nonce == nonce {
            let suffix = if fault == Some("lost") { ", settled by reading it back" } else { "" };
            return Ok(vec![format!("accepted version {}{suffix}", self.head.version)]);
        }
        let delta = self.head.document.delta(self.head.version, &document, Version(0));
        let mut lines = vec![format!("refused: version {} was accepted first", self.head.version)];
        lines.extend(delta.summary());
        Ok(lines)
    }

    /// Returns the update that a peer sends to a process.
    fn update_for(&self, process: &str, peer: &str) -> Update {
        let own = self.processes.get(process).cloned().unwrap_or_default();
        let peer = self.processes.get(peer).cloned().unwrap_or_default();
        if peer.version <= own.version {
            return Update::Current(peer.version);
        }
        if own.version == Version(0) {
            return Update::Whole(peer.version, peer.document);
        }
        Update::Delta(own.document.delta(own.version, &peer.document, peer.version))
    }

    /// Applies an update by the rules of the processes: only a newer version, and a delta only to
    /// the version that it starts from.
    fn accept(&mut self, process: &str, update: Update) -> String {
        let snapshot = self.processes.entry(process.to_string()).or_default();
        let (version, document) = match update {
            Update::Current(version) => return format!("nothing newer than version {version}"),
            Update::Whole(version, document) => (version, document),
            Update::Delta(delta) if delta.from == snapshot.version => {
                let mut document = snapshot.document.clone();
                document.apply(&delta);
                (delta.to, document)
            }
            Update::Delta(delta) => {
                return format!("ignored: the change starts from version {}", delta.from)
            }
        };
        if version <= snapshot.version {
            return format!("ignored: version {version} is not newer than {}", snapshot.version);
        }
        *snapshot = Snapshot { version, document };
        format!("version {version} is in force")
    }
}
