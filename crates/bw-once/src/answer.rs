//! Answers as byte streams with offsets, so that a reader can resume and never mixes two.

use bw_model::AttemptId;
use serde::Deserialize;
use serde::Serialize;

/// Status line and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers in lower case.
    pub headers: Vec<(String, String)>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// All of it is there.
    Whole,
    /// The endpoint broke off.
    Failed,
    /// The engine died; the number names its death within the life of the agent.
    Crashed(u32),
    /// The request was cancelled.
    Cancelled,
}

/// A piece of one attempt's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// Position of the first byte in the body.
    pub offset: u64,
    /// Sent with the piece at offset 0, once known.
    pub head: Option<Head>,
    /// Bytes from `offset` on.
    pub bytes: Vec<u8>,
    /// Set when no byte follows.
    pub end: Option<End>,
}

/// The agent's copy of an answer while it is produced and until it is no longer needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    head: Option<Head>,
    bytes: Vec<u8>,
    trimmed: u64,
    end: Option<End>,
}

impl Answer {
    /// Sets status and headers.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Adds bytes; ignored after the end.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.end.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Ends the answer; the first end counts.
    pub fn finish(&mut self, end: End) {
        self.end.get_or_insert(end);
    }

    /// How it ended, or `None` while it grows.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Bytes held in memory.
    pub fn held(&self) -> usize {
        self.bytes.len()
    }

    /// Position behind the last byte.
    pub fn length(&self) -> u64 {
        self.trimmed + self.bytes.len() as u64
    }

    /// Whether a read at `offset` has something to return.
    pub fn is_ready(&self, offset: u64, head_known: bool) -> bool {
        self.end.is_some() || self.length() > offset || (self.head.is_some() && !head_known)
    }

    /// Frees the bytes before `offset`, which the reader has acknowledged.
    pub fn trim(&mut self, offset: u64) {
        let known = offset.clamp(self.trimmed, self.length());
        let count = (known - self.trimmed) as usize;
        self.bytes.drain(..count);
        self.trimmed = known;
    }

    /// The piece from `offset` on, at most `limit` bytes; `None` when those bytes were freed.
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

/// What the entry does with a piece it received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accept {
    /// New bytes for the caller.
    New(Vec<u8>),
    /// A piece of another attempt; dropped.
    Crossed,
    /// A repeat of bytes that the caller has; dropped.
    Repeated,
    /// Bytes are missing before this piece; dropped.
    Gap,
}

/// The entry's side of an answer: accepts each byte of one attempt once and in order.
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

    /// Position of the next byte, which also acknowledges those before it.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Status and headers, once known.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// How the answer ended, once known.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Takes a piece; bytes that overlap what is known are cut off.
    pub fn accept(&mut self, chunk: Chunk) -> Accept {
        if chunk.attempt != self.attempt {
            return Accept::Crossed;
        }
        if chunk.offset > self.offset {
            return Accept::Gap;
        }
        if self.head.is_none() {
            self.head = chunk.head;
        }
        let known = (self.offset - chunk.offset) as usize;
        if known > chunk.bytes.len() || self.end.is_some() {
            return Accept::Repeated;
        }
        let fresh = chunk.bytes[known..].to_vec();
        self.offset += fresh.len() as u64;
        self.end = chunk.end;
        Accept::New(fresh)
    }
}
