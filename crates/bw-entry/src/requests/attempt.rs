//! One attempt: dispatch, then read its answer to the end.

use std::net::SocketAddr;
use std::time::Duration;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::answer::Accept;
use bw_once::gate::AttemptStatus;
use bw_once::Assembler;
use bw_once::End;
use log::warn;

use super::context::Job;
use super::context::Services;
use super::sink::Sink;
use crate::agents::Agents;
use crate::agents::ReadReply;

/// Pause before a read is repeated over a new link.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How reading an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The sink has the whole answer.
    Whole,
    /// The endpoint broke off.
    Failed,
    /// The engine died; the number names its death.
    Crashed(u32),
    /// The agent does not hold the answer.
    Lost(AttemptStatus),
    /// Nothing was heard from the agent, or nothing new came, for too long.
    Silent,
    /// The time for the request has passed.
    Late,
    /// The caller has left, or the answer was too large for it.
    CallerGone,
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Link of the agent.
    pub agent: SocketAddr,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Tells the agent that nobody waits for an attempt, whenever and however the wait ends.
pub struct Waiting {
    agents: Agents,
    place: Place,
}

impl Waiting {
    /// Starts waiting for an attempt.
    pub fn new(agents: &Agents, place: Place) -> Self {
        Self { agents: agents.clone(), place }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.agents.release(self.place.agent, self.place.attempt);
    }
}

impl Services {
    /// Reads the answer of an attempt into `sink`.
    ///
    /// A link that fails or falls silent is replaced and the read goes on at its offset. The read
    /// ends as [`ReadEnd::Silent`] when no byte comes for the progress time of the settings.
    pub async fn read_answer<S>(&self, job: &Job, place: Place, sink: &mut S) -> ReadEnd
    where
        S: Sink,
    {
        let mut assembler = Assembler::new(place.attempt);
        let mut progress = self.routing.now();
        let mut head_told = false;
        loop {
            let now = self.routing.now();
            if now >= job.deadline {
                return ReadEnd::Late;
            }
            if now.saturating_sub(progress) >= self.settings.get().progress {
                return ReadEnd::Silent;
            }
            let id = (place.attempt, place.incarnation);
            let offset = assembler.offset();
            let chunk = match self.agents.read(place.agent, id, offset, head_told).await {
                Ok(ReadReply::Chunk(chunk)) => chunk,
                Ok(ReadReply::Lost(standing)) => return ReadEnd::Lost(standing),
                Err(error) => {
                    warn!(
                        "event=read_resumed request={} offset={offset} reason=\"{error}\"",
                        job.id
                    );
                    tokio::time::sleep(RESUME_PAUSE).await;
                    continue;
                }
            };
            let accepted = assembler.accept(chunk);
            if !head_told {
                if let Some(head) = assembler.head() {
                    sink.head(head);
                    head_told = true;
                    progress = self.routing.now();
                }
            }
            match accepted {
                Accept::New(bytes) if !bytes.is_empty() => {
                    progress = self.routing.now();
                    if sink.bytes(bytes).await.is_err() {
                        return ReadEnd::CallerGone;
                    }
                }
                Accept::New(_) => {}
                Accept::OtherAttempt => self.count_dropped("crossed"),
                Accept::Duplicate => self.count_dropped("repeated"),
                Accept::Gap => self.count_dropped("gap"),
            }
            match assembler.end() {
                None => {}
                Some(End::Whole) => return ReadEnd::Whole,
                Some(End::Crashed(number)) => return ReadEnd::Crashed(number),
                Some(End::Failed | End::Cancelled) => return ReadEnd::Failed,
            }
        }
    }

    fn count_dropped(&self, reason: &str) {
        self.metrics.dropped.with_label_values(&[reason]).inc();
    }
}
