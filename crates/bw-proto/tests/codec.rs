//! Messages are unchanged by encoding and decoding, and no input makes the decoder panic.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_model::KeyHash;
use bw_model::Version;
use bw_once::Claim;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use bw_proto::CodecError;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use proptest::prelude::*;

#[test]
fn a_claim_round_trips() {
    let claim = Claim {
        endpoint: "dispatch-1".to_string(),
        incarnation: Incarnation(7),
        attempt: AttemptId(u128::MAX - 1),
    };
    let request = EntryRequest::Swap {
        key: KeyHash(1 << 100),
        expect: Some(AttemptId(3)),
        claim: Some(claim),
    };
    let bytes = encode(&request).unwrap();
    assert_eq!(decode::<EntryRequest>(&bytes), Ok(request));
}

#[test]
fn other_formats_trailing_bytes_and_empty_input_are_rejected() {
    let mut bytes = encode(&EntryRequest::Fetch(Version(5))).unwrap();
    bytes.push(0);
    assert_eq!(decode::<EntryRequest>(&bytes), Err(CodecError::Trailing(1)));
    bytes[0] = 9;
    assert_eq!(decode::<EntryRequest>(&bytes), Err(CodecError::Format(9)));
    assert_eq!(decode::<EntryRequest>(&[]), Err(CodecError::Empty));
}

proptest! {
    #[test]
    fn no_input_makes_the_decoder_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Some(first) = bytes.first_mut() {
            *first = bw_proto::codec::FORMAT;
        }
        let _ = decode::<AgentRequest>(&bytes);
        let _ = decode::<AgentReply>(&bytes);
        let _ = decode::<EntryRequest>(&bytes);
        let _ = decode::<EntryReply>(&bytes);
    }
}
