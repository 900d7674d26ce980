//! Cuts a stream of bytes into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event that is kept while it is not whole, in bytes.
const EVENT_BYTES_MAX: usize = 1_048_576;

/// One or more whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Their bytes, up to and with the blank line of the last one.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last: Option<u64>,
    /// Number of events.
    pub count: u32,
}

/// Collects bytes until events are whole.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Takes bytes as they arrive and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.bytes.extend_from_slice(bytes);
        let mut end = 0;
        let mut last = None;
        let mut count = 0;
        while let Some(length) = event_length(&self.bytes[end..]) {
            last = event_id(&self.bytes[end..end + length]).or(last);
            end += length;
            count += 1;
        }
        (end > 0).then(|| Events { bytes: self.bytes.split_to(end).freeze(), last, count })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether an unfinished event is larger than any that is accepted.
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() > EVENT_BYTES_MAX
    }

    /// Drops an unfinished event.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }
}

/// Length of the event at the start, with its blank line.
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

/// The number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("id:"));
    lines.filter_map(|value| value.trim().parse().ok()).next_back()
}
