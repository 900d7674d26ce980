//! Decides whether the next part of a stream goes on where the last one ended.
//!
//! A stream that breaks off may go on at another endpoint, which is told the id of the last event. What that
//! endpoint sends reaches the caller as a part of the same answer, so that it has to be shown to belong there:
//! each event has an id, and the ids go on. The first part is passed on as it comes.

use std::fmt;

/// Pattern of the ids so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Numbering {
    /// Too few events to tell.
    Unknown,
    /// Each id was the one before plus one.
    Consecutive,
    /// Ids were left out.
    Sparse,
}

/// Reason why a part of a stream does not continue the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discontinuity {
    /// An event has no id.
    Unnumbered,
    /// An event comes again, or in the wrong order.
    Repeated(u64),
    /// An event is left out before this one.
    Skipped(u64),
    /// The part ends without the event that the last part had begun.
    Unfinished,
}

impl fmt::Display for Discontinuity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnumbered => write!(f, "event without id"),
            Self::Repeated(id) => write!(f, "event {id} repeated"),
            Self::Skipped(id) => write!(f, "events skipped before {id}"),
            Self::Unfinished => write!(f, "end within an event"),
        }
    }
}

impl std::error::Error for Discontinuity {}

/// What a caller has received of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Continuity {
    last: Option<u64>,
    numbering: Numbering,
    /// Whether all events have ids.
    numbered: bool,
    /// Whether the present part is not the first one.
    resumed: bool,
    /// Whether the last part ended within an event, which has not arrived since.
    event_begun: bool,
}

impl Continuity {
    /// Creates the state of a stream whose caller has received the events up to `last` before.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            numbering: Numbering::Unknown,
            numbered: true,
            resumed: false,
            event_begun: false,
        }
    }

    /// Returns the id of the last event; `None` before the first one.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether another endpoint can be told where to go on.
    pub fn can_resume(&self) -> bool {
        self.numbered
    }

    /// Records that the present part has broken off, within an event if `partial`, and that another one
    /// follows.
    pub fn begin_part(&mut self, partial: bool) {
        self.resumed = true;
        self.event_begun |= partial;
    }

    /// Records the ids of events that are about to be passed on.
    ///
    /// # Errors
    /// [`Discontinuity`] when events of a later part do not go on; none of them is recorded.
    pub fn accept(&mut self, ids: &[Option<u64>]) -> Result<(), Discontinuity> {
        let mut next = *self;
        for id in ids {
            if self.resumed {
                next.check(*id)?;
            }
            next.record(*id);
        }
        *self = next;
        Ok(())
    }

    /// Checks whether the stream may end as complete.
    ///
    /// # Errors
    /// [`Discontinuity::Unfinished`].
    pub fn check_end(&self) -> Result<(), Discontinuity> {
        if self.event_begun {
            Err(Discontinuity::Unfinished)
        } else {
            Ok(())
        }
    }

    fn check(&self, id: Option<u64>) -> Result<(), Discontinuity> {
        let id = id.ok_or(Discontinuity::Unnumbered)?;
        match self.last {
            Some(last) if id <= last => Err(Discontinuity::Repeated(id)),
            Some(last) if self.numbering == Numbering::Consecutive && id - last > 1 => {
                Err(Discontinuity::Skipped(id))
            }
            _ => Ok(()),
        }
    }

    fn record(&mut self, id: Option<u64>) {
        self.event_begun = false;
        let Some(id) = id else {
            self.numbered = false;
            return;
        };
        let follows = self.last.unwrap_or(0).checked_add(1) == Some(id);
        self.numbering = match (self.numbering, follows) {
            (Numbering::Unknown | Numbering::Consecutive, true) => Numbering::Consecutive,
            (Numbering::Unknown, false) if self.last.is_none() => Numbering::Unknown,
            _ => Numbering::Sparse,
        };
        self.last = Some(id);
    }
}
