//! Passes a stream of events on, event by event, and goes on at another endpoint when one breaks
//! off.

use std::time::Duration;

use bw_adapter::requests::reply_headers;
use bw_direct::attempts::SendEnd;
use bw_direct::endpoint::EndpointKey;
use bw_direct::events::Events;
use bytes::Bytes;
use log::info;
use tokio::sync::mpsc;

use super::exchange::next_bytes;
use super::exchange::Sent;
use super::exchange::Started;
use super::job::Job;
use super::outcome::answer;
use super::outcome::Outcome;
use super::Forwarder;
use crate::reply::ReplyBody;
use crate::reply::StreamBroken;

/// Pieces of a stream that wait for the caller to read.
const PIECES_MAX: usize = 8;

/// Result of a stream that came to its end.
const COMPLETE: &str = "complete";

/// A stream that is being passed on.
struct Stream {
    forwarder: Forwarder,
    job: Job,
    sender: mpsc::Sender<Result<Bytes, StreamBroken>>,
    /// Last event that was passed on.
    last: Option<u64>,
    /// When it was.
    passed: Duration,
    /// Longest time between two events.
    longest: Duration,
    events: u32,
}

/// How passing on one endpoint's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint broke off.
    Broken(String),
    /// The caller has left.
    Left,
    /// The time ran out.
    Expired,
}

impl Forwarder {
    /// Begins to pass a stream on; the answer has the head of its first endpoint.
    pub(super) fn start_stream(&self, job: Job, started: Started) -> Outcome {
        let status = started.opened.parts.status;
        let headers = reply_headers(&started.opened.parts);
        let (sender, receiver) = mpsc::channel(PIECES_MAX);
        let (last, passed) = (job.head.last_event, self.clock.now());
        let stream = Stream {
            forwarder: self.clone(),
            job,
            sender,
            last,
            passed,
            longest: Duration::ZERO,
            events: 0,
        };
        tokio::spawn(stream.run(started));
        answer(status.as_u16(), headers, ReplyBody::Events(receiver))
    }
}

impl Stream {
    async fn run(mut self, started: Started) {
        let first = self.passed;
        let mut part = started;
        let result = loop {
            let chosen = part.opened.placed.chosen.clone();
            match self.pass(part).await {
                PartEnd::Complete => {
                    self.forwarder.suspects.clear(self.job.fingerprint);
                    break COMPLETE;
                }
                PartEnd::Left => break "caller_left",
                PartEnd::Expired => {
                    self.break_off();
                    break "expired";
                }
                PartEnd::Broken(reason) => {
                    self.forwarder.endpoints.record_failure(chosen.key, self.forwarder.clock.now());
                    self.forwarder.suspects.record_broken(&chosen, self.job.fingerprint);
                    self.job.note(&format!("broken:{reason}"));
                    match self.resume().await {
                        Some(next) => part = next,
                        None => {
                            self.break_off();
                            break "broken";
                        }
                    }
                }
            }
        };
        let now = self.forwarder.clock.now();
        let metrics = &self.forwarder.metrics;
        metrics.record_request(&self.job.service, result);
        metrics.record_first_byte(&self.job.service, first.saturating_sub(self.job.arrived));
        if result == COMPLETE {
            metrics.record_total(&self.job.service, now.saturating_sub(self.job.arrived));
        }
        info!(
            "event=stream_end request={} result={result} events={} last={} sends=[{}] first_ms={} \
             pause_ms={} took_ms={}",
            self.job.head.attempt,
            self.events,
            self.last.map_or(-1, |last| last as i64),
            self.job.trace.trim_end(),
            first.saturating_sub(self.job.arrived).as_millis(),
            self.longest.as_millis(),
            now.saturating_sub(self.job.arrived).as_millis()
        );
    }

    /// Ends the caller's answer so that it does not look complete.
    fn break_off(&self) {
        // Where the caller reads nothing, closing the channel breaks the connection off, too.
        let _ = self.sender.try_send(Err(StreamBroken));
    }

    /// Passes on what one endpoint sends.
    async fn pass(&mut self, started: Started) -> PartEnd {
        let Started { mut opened, mut buffer, first } = started;
        if let Some(events) = first {
            if !self.give(events).await {
                return PartEnd::Left;
            }
        }
        loop {
            let left = self.job.deadline.saturating_sub(self.forwarder.clock.now());
            let next = tokio::select! {
                next = next_bytes(&mut opened.body) => next,
                () = self.sender.closed() => return PartEnd::Left,
                () = tokio::time::sleep(left) => return PartEnd::Expired,
            };
            match next {
                Ok(Some(bytes)) => {
                    if let Some(events) = buffer.push(&bytes) {
                        self.note_pause(opened.placed.chosen.key);
                        if !self.give(events).await {
                            return PartEnd::Left;
                        }
                    }
                    if buffer.is_oversized() {
                        return PartEnd::Broken("event too large".to_string());
                    }
                }
                Ok(None) if buffer.is_empty() => {
                    let forwarder = &self.forwarder;
                    forwarder
                        .endpoints
                        .record_success(opened.placed.chosen.key, forwarder.clock.now());
                    forwarder.keep_channel(&opened.placed, &opened.reply, opened.channel);
                    return PartEnd::Complete;
                }
                Ok(None) => return PartEnd::Broken("partial event".to_string()),
                Err(reason) => return PartEnd::Broken(reason),
            }
        }
    }

    /// Notes how long the endpoint has taken since the last event.
    fn note_pause(&self, key: EndpointKey) {
        let now = self.forwarder.clock.now();
        self.forwarder.endpoints.record_pause(key, now.saturating_sub(self.passed), now);
    }

    async fn give(&mut self, events: Events) -> bool {
        self.last = events.last_id.or(self.last);
        self.events += events.count;
        let now = self.forwarder.clock.now();
        self.longest = self.longest.max(now.saturating_sub(self.passed));
        self.passed = now;
        self.sender.send(Ok(events.bytes)).await.is_ok()
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self) -> Option<Started> {
        if !self.job.route().resumable {
            return None;
        }
        let mut end = SendEnd::MayHaveRun;
        loop {
            if self.forwarder.next(&mut self.job, end, None).is_some() {
                return None;
            }
            let ask = self.job.ask(self.passed);
            let placed = tokio::select! {
                placed = self.forwarder.waiting.place(ask) => placed.ok()?,
                () = self.sender.closed() => return None,
            };
            let forwarder = self.forwarder.clone();
            let sent = tokio::select! {
                sent = forwarder.send(&mut self.job, placed, self.last) => sent,
                () = self.sender.closed() => return None,
            };
            match sent {
                Ok(Sent::Started(started)) => return Some(*started),
                Ok(Sent::Whole(_)) => end = SendEnd::Failed,
                Err(failed) => end = failed,
            }
        }
    }
}
