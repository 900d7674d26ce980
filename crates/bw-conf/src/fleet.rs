//! Validates the sections of inventory and rules and builds the fleet from them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use bw_model::fleet::Balance;
use bw_model::fleet::CallRule;
use bw_model::fleet::Centre;
use bw_model::fleet::CentreKey;
use bw_model::fleet::Endpoint;
use bw_model::fleet::EndpointKey;
use bw_model::fleet::Instance;
use bw_model::fleet::InstanceKey;
use bw_model::fleet::Pool;
use bw_model::fleet::PoolKey;
use bw_model::fleet::PoolKind;
use bw_model::fleet::Role;
use bw_model::fleet::Shape;
use bw_model::fleet::Workspace;
use bw_model::fleet::WorkspaceKey;
use bw_model::Arena;
use bw_model::Fleet;
use bw_model::Name;
use bw_model::Version;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::reader::file_location;
use crate::reader::IniFile;
use crate::reader::RawSection;
use crate::settings::Section;

/// Section kinds of inventory and rules, in the order in which they are processed.
///
/// A section refers only to sections of earlier kinds.
pub const KINDS: [&str; 9] = [
    "fleet",
    "data-centre",
    "entry",
    "instance",
    "group",
    "service",
    "workspace",
    "restriction",
    "balance",
];

const NAME: &str = "a name of 1 to 63 letters, digits, '-', '_' or '.'";
const ADDRESS: &str = "an address such as 10.0.0.7:7000";
const SLOTS_MAX: u32 = 65_536;
const RANKS_MAX: usize = 1_024;
const EXPERTS_MAX: u32 = 4_096;
const LAYERS_MAX: u32 = 512;
const SHARE_MAX: u32 = 1_000_000;
const TOKEN_HASH_DIGITS: usize = 64;

/// Lookup tables of the objects added so far, to resolve references and to find duplicates.
#[derive(Default)]
struct Lookup {
    centres: HashMap<String, CentreKey>,
    instances: HashMap<String, InstanceKey>,
    pools: HashMap<(PoolKind, String), PoolKey>,
    endpoints: HashMap<String, EndpointKey>,
    workspaces: HashMap<String, WorkspaceKey>,
    /// Section headers by link address.
    links: HashMap<SocketAddr, String>,
    /// Instances that already belong to an endpoint.
    ranks: HashSet<InstanceKey>,
    /// Token hashes already used, valid or not.
    tokens: HashSet<String>,
}

struct Builder {
    fleet: Fleet,
    lookup: Lookup,
    faults: Faults,
}

/// Builds the fleet of `version` from the sections of `files`.
///
/// # Errors
/// All faults found, each with its location.
pub fn build_fleet(version: Version, files: &[IniFile]) -> Result<Fleet, Faults> {
    let mut builder = Builder::new(version);
    let sections: Vec<&RawSection> = files.iter().flat_map(|file| &file.sections).collect();
    builder.check_headers(&sections);
    for kind in KINDS {
        for raw in sections.iter().filter(|raw| raw.kind == kind) {
            builder.add(kind, raw);
        }
    }
    let file = sections.first().map_or("configuration", |raw| raw.file.as_str());
    builder.check_fleet(file);
    builder.faults.check(builder.fleet)
}

impl Builder {
    fn new(version: Version) -> Self {
        let fleet = Fleet {
            version,
            name: default_name(),
            centres: Arena::default(),
            instances: Arena::default(),
            pools: Arena::default(),
            endpoints: Arena::default(),
            workspaces: Arena::default(),
            balance: Balance { move_price: 1.0, switch_interval: 60.0 },
        };
        Self { fleet, lookup: Lookup::default(), faults: Faults::default() }
    }

    fn check_headers(&mut self, sections: &[&RawSection]) {
        let mut seen: HashMap<String, &RawSection> = HashMap::new();
        for raw in sections {
            if !KINDS.contains(&raw.kind.as_str()) {
                let location = raw.location(raw.line);
                self.faults.push(Fault::UnknownSection { location, expected: KINDS.join(", ") });
            }
            if let Some(first) = seen.insert(raw.header(), raw) {
                self.faults.push(Fault::Duplicate {
                    location: raw.location(raw.line),
                    what: format!("section [{}] ({})", raw.header(), first.file),
                    first: first.line,
                });
            }
        }
    }

    fn add(&mut self, kind: &str, raw: &RawSection) {
        let mut section = Section::new(raw);
        match kind {
            "fleet" => self.add_fleet(&mut section),
            "data-centre" => self.add_centre(&mut section),
            "entry" => self.add_entry(&mut section),
            "instance" => self.add_instance(&mut section),
            "group" => self.add_group(&mut section),
            "service" => self.add_service(&mut section),
            "workspace" => self.add_workspace(&mut section),
            "restriction" => self.add_restriction(&mut section),
            _ => self.add_balance(&mut section),
        }
        section.finish(&mut self.faults);
    }

    fn section_name(&mut self, section: &Section<'_>) -> Option<Name> {
        let raw = section.raw();
        match Name::try_from(raw.name.as_str()) {
            Ok(name) => Some(name),
            Err(_) => {
                self.faults.push(Fault::InvalidValue {
                    location: raw.location(raw.line),
                    key: "section name".to_string(),
                    value: raw.name.clone(),
                    expected: NAME.to_string(),
                });
                None
            }
        }
    }

    fn add_fleet(&mut self, section: &mut Section<'_>) {
        if let Some(name) = section.required("name", NAME, &mut self.faults) {
            self.fleet.name = name;
        }
    }

    fn add_centre(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let region = section.required("region", NAME, &mut self.faults);
        if let (Some(name), Some(region)) = (name, region) {
            let key = self.fleet.centres.push(Centre { name: name.clone(), region });
            self.lookup.centres.insert(name.into(), key);
        }
    }

    fn centre(&mut self, section: &mut Section<'_>) -> Option<CentreKey> {
        let name: String = section.required("data-centre", NAME, &mut self.faults)?;
        let key = self.lookup.centres.get(&name).copied();
        if key.is_none() {
            section.report_reference("data-centre", &name, "a [data-centre]", &mut self.faults);
        }
        key
    }

    fn link(&mut self, section: &mut Section<'_>) -> Option<SocketAddr> {
        let link: SocketAddr = section.required("link", ADDRESS, &mut self.faults)?;
        let header = section.raw().header();
        if let Some(first) = self.lookup.links.insert(link, header) {
            let expected = format!("an address that [{first}] does not have");
            section.report_reference("link", &link.to_string(), &expected, &mut self.faults);
        }
        Some(link)
    }

    fn add_entry(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let centre = self.centre(section);
        let link = self.link(section);
        let http = section.required("http", ADDRESS, &mut self.faults);
        if let (Some(name), Some(centre), Some(link), Some(http)) = (name, centre, link, http) {
            self.push_instance(Instance { name, centre, link, role: Role::Entry { http } });
        }
    }

    fn add_instance(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let centre = self.centre(section);
        let link = self.link(section);
        let backend = section.required("backend", ADDRESS, &mut self.faults);
        if let (Some(name), Some(centre), Some(link), Some(backend)) = (name, centre, link, backend)
        {
            self.push_instance(Instance { name, centre, link, role: Role::Agent { backend } });
        }
    }

    fn push_instance(&mut self, instance: Instance) {
        let name = instance.name.to_string();
        let key = self.fleet.instances.push(instance);
        self.lookup.instances.insert(name, key);
    }

    fn pool(&mut self, kind: PoolKind, name: Name, not_repeatable: Vec<CallRule>) -> PoolKey {
        let id = (kind, name.to_string());
        if let Some(key) = self.lookup.pools.get(&id) {
            return *key;
        }
        let key = self.fleet.pools.push(Pool { name, kind, not_repeatable, endpoints: Vec::new() });
        self.lookup.pools.insert(id, key);
        key
    }

    fn instance_list(&mut self, section: &mut Section<'_>, key: &'static str) -> Vec<InstanceKey> {
        let names = section.list(key);
        let mut keys = Vec::new();
        for name in &names {
            match self.lookup.instances.get(name) {
                Some(instance) if keys.contains(instance) => {
                    let expected = "each instance only once";
                    section.report_reference(key, name, expected, &mut self.faults);
                }
                Some(instance) if self.is_entry(*instance) => {
                    let expected = "an [instance], not an [entry]";
                    section.report_reference(key, name, expected, &mut self.faults);
                }
                Some(instance) => keys.push(*instance),
                None => section.report_reference(key, name, "an [instance]", &mut self.faults),
            }
        }
        if names.is_empty() || names.len() > RANKS_MAX {
            let location = section.raw().location(section.raw().line);
            let expected = format!("1 to {RANKS_MAX} instances, separated by commas");
            self.faults.push(Fault::Missing { location, key: key.to_string(), expected });
        }
        keys
    }

    fn is_entry(&self, key: InstanceKey) -> bool {
        matches!(self.fleet.instances[key].role, Role::Entry { .. })
    }

    fn push_endpoint(&mut self, section: &Section<'_>, endpoint: Endpoint) {
        let name = endpoint.name.to_string();
        let mut conflict = None;
        for rank in &endpoint.ranks {
            if !self.lookup.ranks.insert(*rank) {
                conflict.get_or_insert(*rank);
            }
        }
        if let Some(rank) = conflict {
            let instance = self.fleet.instances[rank].name.to_string();
            let expected = "an instance that no other group or service has";
            section.report_reference("instances", &instance, expected, &mut self.faults);
        }
        let pool = endpoint.pool;
        let key = self.fleet.endpoints.push(endpoint);
        self.fleet.pools[pool].endpoints.push(key);
        if self.lookup.endpoints.insert(name.clone(), key).is_some() {
            let expected = "a name that no other endpoint has";
            section.report_reference("section name", &name, expected, &mut self.faults);
        }
    }

    fn add_group(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let model: Option<Name> = section.required("model", NAME, &mut self.faults);
        let ranks = self.instance_list(section, "ranks");
        let slots = section.ranged("slots", (1, SLOTS_MAX), 64, &mut self.faults);
        let shape = Shape {
            layers: section.ranged("layers", (1, LAYERS_MAX), 1, &mut self.faults),
            experts: section.ranged("experts", (1, EXPERTS_MAX), 128, &mut self.faults),
            slots: section.ranged("expert-slots", (1, EXPERTS_MAX), 128, &mut self.faults),
        };
        let fenced = section.optional("checks-orders", "true or false", false, &mut self.faults);
        if u64::from(shape.slots) * (ranks.len() as u64) < u64::from(shape.experts) {
            let location = section.raw().location(section.raw().line);
            let expected = format!("at least {} slots over all ranks", shape.experts);
            let value = shape.slots.to_string();
            self.faults.push(Fault::InvalidValue {
                location,
                key: "expert-slots".to_string(),
                value,
                expected,
            });
        }
        if let (Some(name), Some(model)) = (name, model) {
            let pool = self.pool(PoolKind::Model, model, Vec::new());
            let shape = Some(shape);
            let ranks = ranks.into_iter().collect();
            let allowed_workspaces = Vec::new();
            self.push_endpoint(
                section,
                Endpoint { name, pool, ranks, slots, shape, fenced, allowed_workspaces },
            );
        }
    }

    fn add_service(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let instances = self.instance_list(section, "instances");
        let slots = section.ranged("slots", (1, SLOTS_MAX), 64, &mut self.faults);
        let fenced = section.optional("checks-orders", "true or false", false, &mut self.faults);
        let not_repeatable = self.call_rules(section);
        let Some(name) = name else { return };
        let pool = self.pool(PoolKind::Service, name, not_repeatable);
        for instance in instances {
            let name = self.fleet.instances[instance].name.clone();
            let ranks = std::iter::once(instance).collect();
            let allowed_workspaces = Vec::new();
            let shape = None;
            self.push_endpoint(
                section,
                Endpoint { name, pool, ranks, slots, shape, fenced, allowed_workspaces },
            );
        }
    }

    fn call_rules(&mut self, section: &mut Section<'_>) -> Vec<CallRule> {
        const EXPECTED: &str = "a method and a path, such as POST /orders";
        let mut rules = Vec::new();
        for text in section.list("not-repeatable") {
            let rule = text.split_once(' ').map(|(method, path)| (method.trim(), path.trim()));
            match rule {
                Some((method, path)) if path.starts_with('/') => rules
                    .push(CallRule { method: method.to_ascii_uppercase(), path: path.to_string() }),
                _ => section.report_reference("not-repeatable", &text, EXPECTED, &mut self.faults),
            }
        }
        rules
    }

    fn add_workspace(&mut self, section: &mut Section<'_>) {
        let name = self.section_name(section);
        let token_hash: Option<String> =
            section.required("token-hash", "64 hexadecimal digits", &mut self.faults);
        let order = section.ranged("order", (0, u8::MAX), 100, &mut self.faults);
        let share = section.ranged("share", (1, SHARE_MAX), 1, &mut self.faults);
        let mut pools = Vec::new();
        self.pool_list(section, "models", PoolKind::Model, &mut pools);
        self.pool_list(section, "services", PoolKind::Service, &mut pools);
        let token_hash = token_hash.filter(|hash| self.check_token_hash(section, hash));
        if let (Some(name), Some(token_hash)) = (name, token_hash) {
            let text = name.to_string();
            let key =
                self.fleet.workspaces.push(Workspace { name, token_hash, order, share, pools });
            self.lookup.workspaces.insert(text, key);
        }
    }

    fn check_token_hash(&mut self, section: &Section<'_>, hash: &str) -> bool {
        let valid = hash.len() == TOKEN_HASH_DIGITS
            && hash.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        let duplicate = !self.lookup.tokens.insert(hash.to_string());
        if !valid {
            let expected = "64 hexadecimal digits; see bwctl token";
            section.report_reference("token-hash", hash, expected, &mut self.faults);
        }
        if duplicate {
            let expected = "a token that no other workspace has";
            section.report_reference("token-hash", hash, expected, &mut self.faults);
        }
        valid && !duplicate
    }

    fn pool_list(
        &mut self,
        section: &mut Section<'_>,
        key: &'static str,
        kind: PoolKind,
        pools: &mut Vec<PoolKey>,
    ) {
        for name in section.list(key) {
            match self.lookup.pools.get(&(kind, name.clone())) {
                Some(pool) => pools.push(*pool),
                None => {
                    let expected = match kind {
                        PoolKind::Model => "a model that some [group] serves",
                        PoolKind::Service => "a [service]",
                    };
                    section.report_reference(key, &name, expected, &mut self.faults);
                }
            }
        }
    }

    fn add_restriction(&mut self, section: &mut Section<'_>) {
        self.section_name(section);
        let mut workspaces = Vec::new();
        for name in section.list("workspaces") {
            match self.lookup.workspaces.get(&name) {
                Some(key) => workspaces.push(*key),
                None => {
                    section.report_reference(
                        "workspaces",
                        &name,
                        "a [workspace]",
                        &mut self.faults,
                    );
                }
            }
        }
        let endpoints = section.list("endpoints");
        if endpoints.is_empty() || workspaces.is_empty() {
            let location = section.raw().location(section.raw().line);
            let key = "endpoints and workspaces".to_string();
            let expected = "at least one name in each".to_string();
            self.faults.push(Fault::Missing { location, key, expected });
        }
        for name in endpoints {
            match self.lookup.endpoints.get(&name) {
                Some(key) => self.fleet.endpoints[*key].allowed_workspaces.extend(&workspaces),
                None => {
                    let expected = "a [group] or an instance of a [service]";
                    section.report_reference("endpoints", &name, expected, &mut self.faults);
                }
            }
        }
    }

    fn add_balance(&mut self, section: &mut Section<'_>) {
        let default = self.fleet.balance;
        self.fleet.balance = Balance {
            move_price: section.ranged(
                "move-price",
                (0.0, 1e6),
                default.move_price,
                &mut self.faults,
            ),
            switch_interval: section.ranged(
                "pause-seconds",
                (0.0, 1e6),
                default.switch_interval,
                &mut self.faults,
            ),
        };
    }

    /// Checks the rules that involve several sections; `file` is the location of their faults.
    fn check_fleet(&mut self, file: &str) {
        let mut missing = Vec::new();
        if self.fleet.entries().next().is_none() {
            missing.push(("entry".to_string(), "at least one [entry] section"));
        }
        if self.fleet.endpoints.is_empty() {
            missing.push(("group".to_string(), "at least one [group] or [service] section"));
        }
        for (key, workspace) in self.fleet.workspaces.iter() {
            for pool in &workspace.pools {
                let mut endpoints = self.fleet.pools[*pool].endpoints.iter();
                if !endpoints.any(|endpoint| self.fleet.endpoints[*endpoint].allows(key)) {
                    let text = format!("endpoint of {}", self.fleet.pools[*pool].name);
                    missing.push((
                        format!("{text} for workspace {}", workspace.name),
                        "the restrictions to leave at least one endpoint",
                    ));
                }
            }
        }
        for (key, expected) in missing {
            let location = file_location(file);
            self.faults.push(Fault::Missing { location, key, expected: expected.to_string() });
        }
    }
}

fn default_name() -> Name {
    match Name::try_from("fleet") {
        Ok(name) => name,
        Err(_) => unreachable!("the default name is valid"),
    }
}
