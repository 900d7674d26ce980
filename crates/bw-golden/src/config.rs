//! Sessions of configuration: a head in the store, operators, and processes that hand versions on.

use std::collections::BTreeMap;

use bw_conf::Document;
use bw_conf::Update;
use bw_model::Version;

use crate::Player;

/// A version with its text.
#[derive(Clone, Default)]
struct Held {
    version: Version,
    document: Document,
}

/// Plays one configuration.
///
/// Commands: `operator O reads`, `operator O applies SECTION VALUE [lost|outage]`, `P reads`
/// (from the store), `P fetches Q [late NAME]`, `P takes NAME` (a late update), `versions`.
#[derive(Default)]
pub struct ConfigPlayer {
    head: Held,
    writer: String,
    down: bool,
    operators: BTreeMap<String, Held>,
    processes: BTreeMap<String, Held>,
    late: BTreeMap<String, Update>,
}

impl Player for ConfigPlayer {
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String> {
        match words {
            ["store", state] => {
                self.down = *state == "down";
                Ok(Vec::new())
            }
            ["operator", name, "reads"] => {
                if self.down {
                    return Ok(vec!["unavailable".to_string()]);
                }
                self.operators.insert(name.to_string(), self.head.clone());
                Ok(vec![format!("version {}", self.head.version)])
            }
            ["operator", name, "applies", section, value, fault @ ..] => {
                self.apply(name, section, value, fault.first().copied())
            }
            [process, "reads"] => {
                if self.down {
                    return Ok(vec!["unavailable".to_string()]);
                }
                let head = self.head.clone();
                Ok(vec![self.take(process, Update::Whole(head.version, head.document))])
            }
            [process, "fetches", peer, late @ ..] => {
                let update = self.update_for(process, peer);
                if let ["late", name] = late {
                    self.late.insert(name.to_string(), update);
                    return Ok(vec!["the update is on its way".to_string()]);
                }
                Ok(vec![self.take(process, update)])
            }
            [process, "takes", name] => {
                let update = self.late.get(*name).cloned().ok_or("no such update")?;
                Ok(vec![self.take(process, update)])
            }
            ["versions"] => {
                let line = |(name, held): (&String, &Held)| format!("{name}: {}", held.version);
                Ok(self.processes.iter().map(line).collect())
            }
            _ => Err(format!("no such command: {}", words.join(" "))),
        }
    }
}

impl ConfigPlayer {
    /// The conditional write of an operator, settled by the nonce when its answer is lost.
    fn apply(
        &mut self,
        name: &str,
        section: &str,
        value: &str,
        fault: Option<&str>,
    ) -> Result<Vec<String>, String> {
        let read = self.operators.get(name).cloned().unwrap_or_default();
        if self.down || fault == Some("outage") {
            return Ok(vec!["unavailable; nothing is changed".to_string()]);
        }
        let mut document = read.document.clone();
        let keys = vec![("value".to_string(), value.to_string())];
        document.sections.insert(section.to_string(), keys);
        let nonce = format!("{name}-{section}-{value}");
        if read.version == self.head.version {
            self.head = Held { version: Version(read.version.0 + 1), document: document.clone() };
            self.writer.clone_from(&nonce);
        }
        if self.writer == nonce {
            let how = if fault == Some("lost") { ", settled by reading it back" } else { "" };
            return Ok(vec![format!("accepted version {}{how}", self.head.version)]);
        }
        let delta = self.head.document.delta(self.head.version, &document, Version(0));
        let mut lines = vec![format!("refused: version {} was accepted first", self.head.version)];
        lines.extend(delta.summary());
        Ok(lines)
    }

    fn update_for(&self, process: &str, peer: &str) -> Update {
        let have = self.processes.get(process).cloned().unwrap_or_default();
        let peer = self.processes.get(peer).cloned().unwrap_or_default();
        if peer.version <= have.version {
            return Update::Current(peer.version);
        }
        if have.version == Version(0) {
            return Update::Whole(peer.version, peer.document);
        }
        Update::Delta(have.document.delta(have.version, &peer.document, peer.version))
    }

    /// Takes an update as processes do: only what is newer, and a change only on its base.
    fn take(&mut self, process: &str, update: Update) -> String {
        let held = self.processes.entry(process.to_string()).or_default();
        let (version, document) = match update {
            Update::Current(version) => return format!("nothing newer than version {version}"),
            Update::Whole(version, document) => (version, document),
            Update::Delta(delta) if delta.from == held.version => {
                let mut document = held.document.clone();
                document.apply(&delta);
                (delta.to, document)
            }
            Update::Delta(delta) => {
                return format!("ignored: the change starts from version {}", delta.from)
            }
        };
        if version <= held.version {
            return format!("ignored: version {version} is not newer than {}", held.version);
        }
        *held = Held { version, document };
        format!("version {version} is in force")
    }
}
