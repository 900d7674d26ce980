//! Messages and records that gateways of two releases share during an upgrade.
//!
//! `releases/samples.json` has one value of each kind, and `releases/RELEASE.txt` their bytes as that release encodes
//! them. The last landed release refuses a message with a further field or variant as a whole, so a kind keeps its
//! bytes, and what is new gets a kind of its own.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::fmt::Debug;
use std::fmt::Write;
use std::path::Path;

use bw_direct::candidates::CapacityNews;
use bw_direct::centre_news::CentreMessage;
use bw_direct::cold::ColdNews;
use bw_direct::evacuations::EvacuationNews;
use bw_direct::limits::LimitNews;
use bw_direct::notices::LeavingNews;
use bw_direct::part_news::PartNews;
use bw_direct::peers::News;
use bw_direct::waiting::WaitingNews;
use bw_duty::Lease;
use bw_proto::decode;
use bw_proto::encode;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Release with which the present one runs side by side.
const LAST_LANDED: &str = "0.4.0";

/// Bytes of the samples as one release encodes them.
struct Corpus {
    samples: serde_json::Value,
    lines: String,
}

impl Corpus {
    fn read(release: &str) -> Self {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/releases");
        let samples = std::fs::read_to_string(folder.join("samples.json")).unwrap();
        let lines = std::fs::read_to_string(folder.join(format!("{release}.txt"))).unwrap();
        Self { samples: serde_json::from_str(&samples).unwrap(), lines }
    }

    fn sample<T>(&self, kind: &str) -> T
    where
        T: DeserializeOwned,
    {
        serde_json::from_value(self.samples[kind].clone()).unwrap()
    }

    fn bytes(&self, kind: &str) -> Vec<u8> {
        let line = self.lines.lines().find_map(|line| line.strip_prefix(kind)?.strip_prefix(' '));
        let digits = line.unwrap_or_else(|| panic!("the corpus has no {kind}"));
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        (0..digits.len()).step_by(2).map(byte).collect()
    }

    /// Checks that this release reads the bytes of the other one, and that the other one reads its bytes.
    fn check<T>(&self, kind: &str)
    where
        T: DeserializeOwned + Serialize + PartialEq + Debug,
    {
        let sample: T = self.sample(kind);
        let bytes = self.bytes(kind);
        assert_eq!(
            decode::<T>(&bytes).as_ref(),
            Ok(&sample),
            "{kind} as the other release sends it"
        );
        assert_eq!(hex(&encode(&sample).unwrap()), hex(&bytes), "{kind} as this release sends it");
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

#[test]
fn messages_have_the_bytes_of_the_last_landed_release() {
    let corpus = Corpus::read(LAST_LANDED);
    corpus.check::<News>("news");
    corpus.check::<CentreMessage>("hello");
    corpus.check::<CentreMessage>("brief");
    corpus.check::<CentreMessage>("sums");
    corpus.check::<PartNews>("parts");
    corpus.check::<Vec<LimitNews>>("limits");
    corpus.check::<Vec<LeavingNews>>("leaving");
    corpus.check::<CapacityNews>("capacity");
    corpus.check::<EvacuationNews>("evacuations");
    corpus.check::<Vec<ColdNews>>("cold");
    corpus.check::<WaitingNews>("waiting");
}

/// The store keeps the lease as JSON, in which a release skips fields that it does not know and misses those that
/// it does.
#[test]
fn the_lease_in_the_store_has_the_fields_of_the_last_landed_release() {
    let corpus = Corpus::read(LAST_LANDED);
    let lease: Lease = corpus.sample("lease");
    assert_eq!(serde_json::to_value(&lease).unwrap(), corpus.samples["lease"]);
}

/// A field or variant that is added without a kind of its own is what the corpus has to catch.
#[test]
fn a_message_with_a_further_field_is_refused_by_the_other_release() {
    let corpus = Corpus::read(LAST_LANDED);
    let mut bytes = corpus.bytes("waiting");
    bytes.push(0);
    assert!(decode::<WaitingNews>(&bytes).is_err());
}
