//! Faults reported for inventory and rules, and changes between documents.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::BTreeMap;

use bw_conf::build_fleet;
use bw_conf::Document;
use bw_conf::IniFile;
use bw_model::Version;
use proptest::prelude::*;

const SMALL: &str = "\
[data-centre press]
region = thies
[entry e1]
data-centre = press
http = 10.0.0.1:80
link = 10.0.0.1:81
[instance i1]
data-centre = press
link = 10.0.0.2:81
backend = 10.0.0.2:82
[service orders]
instances = i1
not-repeatable = POST /jobs
";

fn faults_of(text: &str) -> Vec<String> {
    let built = IniFile::parse("x.ini", text).and_then(|file| build_fleet(Version(1), &[file]));
    match built {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_small_inventory_is_valid() {
    assert_eq!(faults_of(SMALL), Vec::<String>::new());
}

#[test]
fn all_faults_are_reported_together_with_their_locations() {
    let text = format!(
        "{SMALL}[workspace w]\ntoken-hash = short\nshare = 0\nservices = nowhere\ncolour = red\n\
         [data-centre store]\nregion = two words\n[harbour h]\n"
    );
    let faults = faults_of(&text);
    let expected = [
        "x.ini:21: [harbour h]: no such section",
        "x.ini:20: [data-centre store]: region = \"two words\"",
        "x.ini:16: [workspace w]: share = \"0\"; expected a number from 1 to 1000000",
        "x.ini:17: [workspace w]: services names \"nowhere\"; expected a [service]",
        "x.ini:15: [workspace w]: token-hash names \"short\"",
        "x.ini:18: [workspace w]: no such key \"colour\"",
    ];
    for prefix in expected {
        assert!(faults.iter().any(|fault| fault.starts_with(prefix)), "{prefix}\nin {faults:#?}");
    }
}

#[test]
fn faults_of_duplicates_contain_the_line_of_the_first() {
    let faults = faults_of("[fleet]\nname = a\nname = b\n[fleet]\nname = c\n");
    assert!(faults[0].contains("x.ini:3: [fleet]: key \"name\" appears twice; first at line 2"));
    assert!(faults[1].contains("x.ini:4: [fleet]: section [fleet] appears twice; first at line 1"));
}

#[test]
fn restrictions_must_leave_an_endpoint_for_every_workspace() {
    let hash = "a".repeat(64);
    let other = "b".repeat(64);
    let text = format!(
        "{SMALL}[workspace w]\ntoken-hash = {hash}\nservices = orders\n\
         [workspace v]\ntoken-hash = {other}\nservices = orders\n\
         [restriction r]\nendpoints = i1\nworkspaces = v\n"
    );
    let faults = faults_of(&text);
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].contains("endpoint of orders for workspace w"), "{}", faults[0]);
}

#[test]
fn a_utf8_fault_contains_its_line() {
    let error = IniFile::parse_bytes("x.ini", b"[fleet]\nname = \xff\n").unwrap_err();
    assert!(error.to_string().starts_with("x.ini:2: not INI: the text is not UTF-8"));
}

#[test]
fn the_examples_are_valid_and_have_the_specified_sizes() {
    for example in ["galle", "lipnik"] {
        let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let read = |name: &str| {
            let bytes = std::fs::read(format!("{folder}/{name}")).unwrap();
            IniFile::parse_bytes(name, &bytes).unwrap()
        };
        let fleet = build_fleet(Version(1), &[read("inventory.ini"), read("rules.ini")]).unwrap();
        assert_eq!((fleet.centres.len(), fleet.workspaces.len()), (3, 10));
        assert_eq!((fleet.entries().count(), fleet.instances.len()), (6, 6 + 16 + 3));
    }
}

fn any_document() -> impl Strategy<Value = Document> {
    let keys = prop::collection::vec(("[a-z]{1,4}", "[a-z0-9 ]{0,6}"), 0..3);
    prop::collection::btree_map("[a-z]{1,3} [a-z]{1,3}", keys, 0..12)
        .prop_map(|sections: BTreeMap<_, _>| Document { sections })
}

proptest! {
    #[test]
    fn the_parser_never_panics(text in "\\PC{0,300}") {
        let _ = IniFile::parse("x.ini", &text).and_then(|file| build_fleet(Version(1), &[file]));
    }

    #[test]
    fn the_parser_never_panics_on_ini_like_lines(
        lines in prop::collection::vec("(\\[[a-z -]{0,12}\\]|[a-z-]{1,12} ?= ?[a-z0-9.:, /-]{0,20})", 0..30),
    ) {
        let text = lines.join("\n");
        let _ = IniFile::parse("x.ini", &text).and_then(|file| build_fleet(Version(1), &[file]));
    }

    #[test]
    fn applying_a_delta_gives_the_next_document(before in any_document(), after in any_document()) {
        let delta = before.delta(Version(1), &after, Version(2));
        let mut changed = before.clone();
        changed.apply(&delta);
        prop_assert_eq!(changed, after);
    }

    #[test]
    fn joined_parts_equal_the_document(document in any_document(), count in 1usize..70) {
        prop_assert_eq!(Document::join(document.parts(count)), document);
    }
}
