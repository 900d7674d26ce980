//! What would be done with a request, without queueing it.

use std::time::Duration;

use bw_direct::eligibility::Outlook;

use super::WaitQueues;
use super::RETRY_AFTER_MIN;
use crate::endpoints::Preview;
use crate::placement::PlacementRequest;

/// What would be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It would be sent at once.
    Send,
    /// It would wait for about this time.
    Wait(Duration),
    /// It would be refused, with about this time to return.
    Refuse(Duration),
}

/// What a request would find at present.
pub struct QueuePreview {
    /// Requests that wait for the service in this gateway.
    pub waiting: usize,
    /// What would be done with the request.
    pub fate: Fate,
    /// Where it would be placed.
    pub placement: Preview,
}

impl WaitQueues {
    /// Returns what would be done with a request now. The queues stay as they are.
    pub fn preview(&self, mut request: PlacementRequest) -> QueuePreview {
        let now = self.clock.now();
        let (waiting, expected, room) = {
            let state = self.lock();
            match state.queues.get(&request.service) {
                Some(queue) => {
                    let offer = queue.offer(&request, state.last_ticket + 1, false);
                    let room = queue.room_need(&request, &state.elsewhere, now);
                    (queue.waiters.len(), queue.admission.expected_wait(&offer, now), room)
                }
                None => (0, Duration::ZERO, None),
            }
        };
        request.room = room;
        let placement = self.endpoints.preview(&request, now);
        let outlook =
            self.endpoints.outlook(&request.service, &request.exclude, &request.homes, now);
        let fate = match (&placement.chosen, outlook) {
            (Some(_), _) if waiting == 0 => Fate::Send,
            (_, Outlook::NotBefore(at)) => Fate::Refuse(at.saturating_sub(now)),
            (_, Outlook::Closed) => Fate::Refuse(RETRY_AFTER_MIN),
            (_, Outlook::Open) if now + expected > request.deadline => {
                Fate::Refuse(expected.max(RETRY_AFTER_MIN))
            }
            (_, Outlook::Open) => Fate::Wait(expected),
        };
        QueuePreview { waiting, fate, placement }
    }
}
