//! Tests of splitting byte streams into complete events.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_direct::events::EventBuffer;
use proptest::prelude::*;

#[test]
fn an_incomplete_event_is_held_back() {
    let mut buffer = EventBuffer::default();
    let events = buffer.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.ids.as_slice(), [Some(1)]);
    assert!(!buffer.is_empty());
    let events = buffer.push(b"ta: b\n\n").unwrap();
    assert_eq!(&events.bytes[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.ids.as_slice(), [Some(2)]);
    assert!(buffer.is_empty());
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut buffer = EventBuffer::default();
    let events = buffer.push(b"id:7\r\ndata: x\r\n\r\n").unwrap();
    assert_eq!(events.ids.as_slice(), [Some(7)]);
}

#[test]
fn events_without_an_id_are_told_apart() {
    let mut buffer = EventBuffer::default();
    let events = buffer.push(b"id: 3\ndata: a\n\ndata: b\n\n").unwrap();
    assert_eq!(events.ids.as_slice(), [Some(3), None]);
    assert_eq!(buffer.push(b"data: c\n\n").unwrap().ids.as_slice(), [None]);
    assert!(buffer.push(b": a comment\n\n").unwrap().ids.is_empty());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        count in 1u64..30,
        cuts in proptest::collection::vec(1usize..40, 1..200),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: {}\n\n", id * 7)).collect();
        let mut buffer = EventBuffer::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.into_iter().chain(std::iter::repeat(17)) {
            if rest.is_empty() {
                break;
            }
            let (piece, remaining) = rest.split_at(cut.min(rest.len()));
            rest = remaining;
            if let Some(events) = buffer.push(piece) {
                prop_assert!(events.bytes.ends_with(b"\n\n"));
                passed.extend_from_slice(&events.bytes);
            }
        }
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn arbitrary_bytes_are_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = EventBuffer::default();
        for piece in bytes.chunks(7) {
            let _ = buffer.push(piece);
        }
    }
}
