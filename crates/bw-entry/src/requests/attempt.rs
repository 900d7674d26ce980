//! Reading of one attempt's answer from its agent.

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
use super::sink::SinkError;
use crate::agents::Agents;
use crate::agents::ReadReply;

/// Pause after a failed read, before it is repeated over a new link.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How the reading of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The sink has received the complete answer, which has this status.
    Whole(u16),
    /// The endpoint failed before the answer was complete.
    Failed,
    /// The engine crashed; the number identifies the crash within the agent's incarnation.
    Crashed(u32),
    /// The agent does not have the answer; holds the attempt's status.
    Lost(AttemptStatus),
    /// The agent did not reply, or sent no new byte, for longer than the progress time.
    Silent,
    /// The request's deadline has passed.
    Late,
    /// The caller has disconnected, or the answer was too large.
    CallerGone,
}

/// A dispatched attempt and the agent from which its answer is read.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLocation {
    /// Link address of the agent.
    pub agent: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Id of the attempt.
    pub attempt: AttemptId,
}

/// Guard that informs the agent, when dropped, that no caller waits for the attempt any more. The
/// drop covers every end of the wait, including cancellation of the task.
pub struct ReleaseGuard {
    agents: Agents,
    location: AttemptLocation,
}

impl ReleaseGuard {
    /// Creates the guard for an attempt.
    pub fn new(agents: &Agents, location: AttemptLocation) -> Self {
        Self { agents: agents.clone(), location }
    }
}

impl Drop for ReleaseGuard {
    fn drop(&mut self) {
        self.agents.release(self.location.agent, self.location.attempt);
    }
}

impl Services {
    /// Reads the answer of an attempt into `sink`.
    ///
    /// If the link fails or stops replying, the read continues at the same offset over a new link.
    /// The read ends as [`ReadEnd::Silent`] if neither the head nor a new byte arrives within the
    /// progress time of the settings.
    pub async fn read_answer<S>(
        &self,
        job: &Job,
        location: AttemptLocation,
        sink: &mut S,
    ) -> ReadEnd
    where
        S: Sink,
    {
        let mut assembler = Assembler::new(location.attempt);
        let mut last_progress = self.routing.now();
        let mut head_sent = false;
        loop {
            let now = self.routing.now();
            if now >= job.deadline {
                return ReadEnd::Late;
            }
            if now.saturating_sub(last_progress) >= self.settings.get().progress {
                return ReadEnd::Silent;
            }
            let id = (location.attempt, location.incarnation);
            let offset = assembler.offset();
            let chunk = match self.agents.read(location.agent, id, offset, head_sent).await {
                Ok(ReadReply::Chunk(chunk)) => chunk,
                Ok(ReadReply::Lost(status)) => return ReadEnd::Lost(status),
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
            if !head_sent {
                if let Some(head) = assembler.head() {
                    sink.write_head(head);
                    head_sent = true;
                    last_progress = self.routing.now();
                }
            }
            match accepted {
                Accept::New(bytes) if !bytes.is_empty() => {
                    last_progress = self.routing.now();
                    if let Err(error) = sink.write(bytes).await {
                        return self.end_of(job, error);
                    }
                }
                Accept::New(_) => {}
                Accept::OtherAttempt => self.count_dropped("crossed"),
                Accept::Duplicate => self.count_dropped("repeated"),
                Accept::Gap => self.count_dropped("gap"),
            }
            match assembler.end() {
                None => {}
                Some(End::Whole) => match sink.finish() {
                    Ok(()) => {
                        return ReadEnd::Whole(assembler.head().map_or(0, |head| head.status))
                    }
                    Err(error) => return self.end_of(job, error),
                },
                Some(End::Crashed(number)) => return ReadEnd::Crashed(number),
                Some(End::Failed | End::Cancelled) => return ReadEnd::Failed,
            }
        }
    }

    /// Returns the end of an answer that the sink takes no more of.
    fn end_of(&self, job: &Job, error: SinkError) -> ReadEnd {
        match error {
            SinkError::CallerGone => ReadEnd::CallerGone,
            SinkError::Unsound => {
                warn!("event=answer_unsound request={} reason=partial_event", job.id);
                ReadEnd::Failed
            }
        }
    }

    /// Counts a dropped chunk by reason.
    fn count_dropped(&self, reason: &str) {
        self.metrics.dropped.with_label_values(&[reason]).inc();
    }
}
