//! Forwarding of a stream of events to its caller, with resumption at another endpoint when the
//! stream breaks.

use std::time::Duration;

use bw_adapter::requests::reply_headers;
use bw_direct::attempts::SendEnd;
use bw_direct::continuity::Continuity;
use bw_direct::continuity::Discontinuity;
use bw_direct::endpoint::EndpointKey;
use bw_direct::events::EventBuffer;
use bw_direct::events::Events;
use bw_direct::wait_limits::stall_max;
use log::info;
use tokio::time::timeout;

use super::exchange::next_bytes;
use super::exchange::EndpointAnswer;
use super::exchange::OpenAnswer;
use super::exchange::StartedStream;
use super::exchange::EVENT_TOO_LARGE;
use super::job::Job;
use super::outcome::answer;
use super::outcome::Outcome;
use super::Forwarder;
use crate::reply::event_stream;
use crate::reply::EventSender;
use crate::waiting::PlacedRequest;

/// Capacity of the channel to the caller's connection, in batches of one or more events.
const CHANNEL_CAPACITY: usize = 8;

/// Result, in logs and metrics, of a stream that was forwarded to its end.
const COMPLETE: &str = "complete";

/// A stream that is being forwarded.
struct Stream {
    forwarder: Forwarder,
    job: Job,
    sender: EventSender,
    /// What was forwarded so far.
    continuity: Continuity,
    /// Time at which the last event was forwarded.
    forwarded_at: Duration,
    /// Longest time between two events.
    longest_pause: Duration,
    events: u32,
}

/// End of one endpoint's part of a stream.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint's answer ended early, for the given reason.
    Broken(String),
    /// The endpoint delays its group, and a place at another one is free.
    Moving(Box<PlacedRequest>),
    /// The caller has disconnected.
    CallerLeft,
    /// The request's deadline has passed.
    Expired,
}

impl Forwarder {
    /// Starts to forward a stream; the answer has the head of the first endpoint's answer.
    pub(super) fn start_stream(&self, job: Job, started: StartedStream) -> Outcome {
        let status = started.opened.parts.status;
        let headers = reply_headers(&started.opened.parts);
        let (sender, body) = event_stream(CHANNEL_CAPACITY);
        let continuity = Continuity::new(job.head.last_event);
        let forwarded_at = self.clock.now();
        let stream = Stream {
            forwarder: self.clone(),
            job,
            sender,
            continuity,
            forwarded_at,
            longest_pause: Duration::ZERO,
            events: 0,
        };
        tokio::spawn(stream.run(started));
        answer(status.as_u16(), headers, body)
    }
}

impl Stream {
    async fn run(mut self, started: StartedStream) {
        let first_at = self.forwarded_at;
        let mut part = started;
        let result = loop {
            let chosen = part.opened.placed.chosen.clone();
            match self.forward_part(part).await {
                PartEnd::Complete => {
                    self.forwarder.suspects.clear(&self.job.fingerprints);
                    self.forwarder.suspects.clear_parts(&self.job.head);
                    break COMPLETE;
                }
                PartEnd::CallerLeft => break "caller_left",
                PartEnd::Expired => break "expired",
                PartEnd::Moving(placed) => {
                    self.job.append_trace("moved");
                    match self.resume(Some(*placed)).await {
                        Some(next) => part = next,
                        None => break "broken",
                    }
                }
                PartEnd::Broken(reason) => {
                    self.forwarder.endpoints.record_failure(chosen.key, self.forwarder.clock.now());
                    let job = &self.job;
                    self.forwarder.suspects.record_broken(&chosen, &job.head, job.fingerprints);
                    self.job.append_trace(&format!("broken:{reason}"));
                    match self.resume(None).await {
                        Some(next) => part = next,
                        None => break "broken",
                    }
                }
            }
        };
        let now = self.forwarder.clock.now();
        let metrics = &self.forwarder.metrics;
        metrics.record_request(&self.job.service, result);
        metrics.record_first_byte(&self.job.service, first_at.saturating_sub(self.job.arrived_at));
        if result == COMPLETE {
            metrics.record_total(&self.job.service, now.saturating_sub(self.job.arrived_at));
        }
        info!(
            "event=stream_end request={} result={result} events={} last={} sends=[{}] first_ms={} \
             pause_ms={} took_ms={}",
            self.job.head.attempt,
            self.events,
            self.continuity.last_event().map_or(-1, |last| last as i64),
            self.job.trace.trim_end(),
            first_at.saturating_sub(self.job.arrived_at).as_millis(),
            self.longest_pause.as_millis(),
            now.saturating_sub(self.job.arrived_at).as_millis()
        );
        if result == COMPLETE {
            self.sender.finish();
        }
    }

    /// Forwards the events that one endpoint sends.
    async fn forward_part(&mut self, started: StartedStream) -> PartEnd {
        let StartedStream { mut opened, mut buffer, first } = started;
        let end = self.forward_events(&mut opened, &mut buffer, first).await;
        match end {
            PartEnd::Complete => {
                let forwarder = &self.forwarder;
                let now = forwarder.clock.now();
                forwarder.endpoints.record_success(opened.placed.chosen.key, now);
                forwarder.keep_channel(&opened.placed, &opened.reply, opened.channel);
            }
            PartEnd::Broken(_) | PartEnd::Moving(_) => {
                self.continuity.begin_part(!buffer.is_empty());
            }
            PartEnd::CallerLeft | PartEnd::Expired => {}
        }
        end
    }

    async fn forward_events(
        &mut self,
        opened: &mut OpenAnswer,
        buffer: &mut EventBuffer,
        first: Option<Events>,
    ) -> PartEnd {
        if let Some(events) = first {
            if let Err(end) = self.send_events(events).await {
                return end;
            }
        }
        // The time that a slow caller takes does not count.
        let mut waiting_since = self.forwarder.clock.now();
        loop {
            let now = self.forwarder.clock.now();
            let remaining = self.job.deadline.saturating_sub(now);
            let waited = now.saturating_sub(waiting_since);
            let patience = stall_max(self.job.route()).saturating_sub(waited);
            let next = tokio::select! {
                next = next_bytes(&mut opened.body) => next,
                () = self.sender.closed() => return PartEnd::CallerLeft,
                () = tokio::time::sleep(remaining) => return PartEnd::Expired,
                () = tokio::time::sleep(patience) => return PartEnd::Broken("stalled".to_string()),
            };
            match next {
                Ok(Some(bytes)) => {
                    if let Some(events) = buffer.push(&bytes) {
                        let progress = !events.ids.is_empty();
                        if progress {
                            self.record_pause(opened.placed.chosen.key);
                        }
                        if let Err(end) = self.send_events(events).await {
                            return end;
                        }
                        if let Some(placed) = self.place_elsewhere(opened.placed.chosen.key) {
                            return PartEnd::Moving(Box::new(placed));
                        }
                        if progress {
                            waiting_since = self.forwarder.clock.now();
                        }
                    }
                    if buffer.is_oversized() {
                        return PartEnd::Broken(EVENT_TOO_LARGE.to_string());
                    }
                }
                Ok(None) if buffer.is_empty() => {
                    return match self.continuity.check_end() {
                        Ok(()) => PartEnd::Complete,
                        Err(error) => self.reject_part(error),
                    };
                }
                Ok(None) => return PartEnd::Broken("partial event".to_string()),
                Err(reason) => return PartEnd::Broken(reason),
            }
        }
    }

    /// Records the endpoint's pause since the last event.
    fn record_pause(&self, key: EndpointKey) {
        let now = self.forwarder.clock.now();
        self.forwarder.endpoints.record_pause(key, now.saturating_sub(self.forwarded_at), now);
    }

    /// Sends events to the caller.
    ///
    /// # Errors
    /// [`PartEnd::CallerLeft`], [`PartEnd::Expired`] when the caller did not read until the deadline, or
    /// [`PartEnd::Broken`] when the events do not go on where the last part ended.
    async fn send_events(&mut self, events: Events) -> Result<(), PartEnd> {
        self.continuity.accept(&events.ids).map_err(|error| self.reject_part(error))?;
        self.events += events.ids.len() as u32;
        let now = self.forwarder.clock.now();
        self.longest_pause = self.longest_pause.max(now.saturating_sub(self.forwarded_at));
        self.forwarded_at = now;
        let remaining = self.job.deadline.saturating_sub(now);
        match timeout(remaining, self.sender.send(events.bytes)).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(PartEnd::CallerLeft),
            Err(_) => Err(PartEnd::Expired),
        }
    }

    /// Counts a part that does not continue the last one, and ends it.
    fn reject_part(&self, error: Discontinuity) -> PartEnd {
        self.forwarder.metrics.record_invalid("stream_part");
        PartEnd::Broken(error.to_string())
    }

    /// Returns a place at another endpoint if the one that sends the stream should be evacuated and
    /// the stream may be sent once more.
    fn place_elsewhere(&self, key: EndpointKey) -> Option<PlacedRequest> {
        let now = self.forwarder.clock.now();
        let movable = self.job.route().resumable
            && self.job.attempts.may_run_again()
            && self.forwarder.drain.admits(self.job.deadline);
        if !movable || !self.forwarder.endpoints.should_evacuate(key, now) {
            return None;
        }
        self.forwarder.waiting.place_displaced(self.job.placement_request(now))
    }

    /// Resumes the stream at another endpoint, after the last event that was forwarded; at `placed`
    /// first, if it is given. Returns `None` if the stream cannot be resumed or the caller has
    /// disconnected.
    async fn resume(&mut self, mut placed: Option<PlacedRequest>) -> Option<StartedStream> {
        if !self.job.route().resumable || !self.continuity.can_resume() {
            return None;
        }
        let mut end = SendEnd::MayHaveRun;
        loop {
            if self.forwarder.after_send(&mut self.job, end, None).is_some() {
                return None;
            }
            let request = self.job.placement_request(self.forwarded_at).resumed();
            let placed = match placed.take() {
                Some(placed) => placed,
                None => tokio::select! {
                    placed = self.forwarder.waiting.place(request) => placed.ok()?,
                    () = self.sender.closed() => return None,
                },
            };
            let forwarder = self.forwarder.clone();
            let result = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                result = forwarder.send(&mut self.job, placed, self.continuity.last_event()) => result,
            };
            match result {
                Ok(EndpointAnswer::Started(started)) => return Some(*started),
                Ok(EndpointAnswer::Whole(_)) => end = SendEnd::Failed,
                Err(failed) => end = failed,
            }
        }
    }
}
