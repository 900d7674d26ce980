//! Splits a byte stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use smallvec::SmallVec;

/// Maximum size in bytes of an incomplete event in the buffer.
const EVENT_BYTES_MAX: usize = 1_048_576;

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events, including the blank line that ends the last one.
    pub bytes: Bytes,
    /// Ids of the events in `bytes`; comments and blank lines alone make none.
    pub ids: SmallVec<[Option<u64>; 2]>,
}

/// Buffers bytes until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.bytes.extend_from_slice(bytes);
        let mut end = 0;
        let mut ids = SmallVec::new();
        while let Some(length) = event_length(&self.bytes[end..]) {
            let event = &self.bytes[end..end + length];
            if has_field(event) {
                ids.push(event_id(event));
            }
            end += length;
        }
        (end > 0).then(|| Events { bytes: self.bytes.split_to(end).freeze(), ids })
    }

    /// Returns whether no bytes of an incomplete event are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether the incomplete event exceeds the accepted size.
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() > EVENT_BYTES_MAX
    }

    /// Discards the incomplete event.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }
}

/// Returns the length of the first event, including its blank line, or `None` if the event is
/// incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + offset + 1;
        let line = &bytes[start..next - 1];
        if line.is_empty() || line == b"\r" {
            return Some(next);
        }
        start = next;
    }
    None
}

/// Returns whether a block of lines has a line that is neither blank nor a comment.
fn has_field(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the number in the event's `id` field; the last number wins.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("id:"));
    lines.filter_map(|value| value.trim().parse().ok()).next_back()
}
