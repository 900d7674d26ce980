//! Answers as byte streams with offsets, so that a reader can resume an answer and never mixes the
//! answers of two attempts.

use bw_model::AttemptId;
use serde::Deserialize;
use serde::Serialize;

/// Status line and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The answer is complete.
    Whole,
    /// The endpoint failed before the answer was complete.
    Failed,
    /// The engine crashed; the number identifies the crash within the incarnation of the agent.
    Crashed(u32),
    /// The request was cancelled.
    Cancelled,
}

/// A piece of one attempt's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that produced the answer.
    pub attempt: AttemptId,
    /// Offset of the first byte in the body.
    pub offset: u64,
    /// Status and headers; only set at offset 0, once they are known.
    pub head: Option<Head>,
    /// Body bytes from `offset` on.
    pub bytes: Vec<u8>,
    /// Set if no byte follows.
    pub end: Option<End>,
}

/// The agent's buffer of an answer, kept while the answer is produced and until it is no longer
/// needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    head: Option<Head>,
    /// Body bytes from `trimmed` on.
    bytes: Vec<u8>,
    /// Number of bytes freed at the start of the body.
    trimmed: u64,
    end: Option<End>,
}

impl Answer {
    /// Sets status and headers.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Appends bytes; ignored after the end.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.end.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Ends the answer. Only the first call has an effect.
    pub fn finish(&mut self, end: End) {
        self.end.get_or_insert(end);
    }

    /// Returns how the answer ended, or `None` while it is being produced.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Returns the number of bytes in memory.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the number of bytes received so far, including freed ones.
    pub fn length(&self) -> u64 {
        self.trimmed + self.bytes.len() as u64
    }

    /// Returns true if a read at `offset` has something to return: bytes, the end, or the head if
    /// the reader doesn't have it yet.
    pub fn is_ready(&self, offset: u64, head_known: bool) -> bool {
        self.end.is_some() || self.length() > offset || (self.head.is_some() && !head_known)
    }

    /// Frees the bytes before `offset`, which the reader has acknowledged. Offsets outside the
    /// buffer are clamped.
    pub fn trim(&mut self, offset: u64) {
        let offset = offset.clamp(self.trimmed, self.length());
        let count = (offset - self.trimmed) as usize;
        self.bytes.drain(..count);
        self.trimmed = offset;
    }

    /// Returns at most `limit` bytes from `offset` on, or `None` if these bytes were freed or
    /// `offset` is past the last byte received.
    pub fn read(&self, attempt: AttemptId, offset: u64, limit: usize) -> Option<Chunk> {
        if offset < self.trimmed || offset > self.length() {
            return None;
        }
        let start = (offset - self.trimmed) as usize;
        let stop = self.bytes.len().min(start.saturating_add(limit));
        let last = stop == self.bytes.len();
        Some(Chunk {
            attempt,
            offset,
            head: if offset == 0 { self.head.clone() } else { None },
            bytes: self.bytes[start..stop].to_vec(),
            end: if last { self.end } else { None },
        })
    }
}

/// Result of [`Assembler::accept`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accept {
    /// New bytes for the caller.
    New(Vec<u8>),
    /// The chunk belongs to another attempt and was dropped.
    OtherAttempt,
    /// The chunk repeats bytes that the caller already has, or comes after the end; it was dropped.
    Duplicate,
    /// Bytes before the chunk are missing; the chunk was dropped.
    Gap,
}

/// The entry's reader of an answer: accepts each byte of one attempt once and in order.
#[derive(Clone, Debug)]
pub struct Assembler {
    attempt: AttemptId,
    offset: u64,
    head: Option<Head>,
    end: Option<End>,
}

impl Assembler {
    /// Starts reading the answer of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, offset: 0, head: None, end: None }
    }

    /// Returns the offset of the next byte. A read at this offset also acknowledges the bytes
    /// before it.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns status and headers, once known.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns how the answer ended, once known.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Accepts the next chunk. Bytes that were accepted before are skipped.
    pub fn accept(&mut self, chunk: Chunk) -> Accept {
        if chunk.attempt != self.attempt {
            return Accept::OtherAttempt;
        }
        if chunk.offset > self.offset {
            return Accept::Gap;
        }
        if self.head.is_none() {
            self.head = chunk.head;
        }
        let overlap = (self.offset - chunk.offset) as usize;
        if overlap > chunk.bytes.len() || self.end.is_some() {
            return Accept::Duplicate;
        }
        let new = chunk.bytes[overlap..].to_vec();
        self.offset += new.len() as u64;
        self.end = chunk.end;
        Accept::New(new)
    }
}
