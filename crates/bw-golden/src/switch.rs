//! Sessions of a map switch: a coordinator, the ranks' agents and their engines.

use bw_expert::switch::Event;
use bw_expert::switch::Phase;
use bw_expert::Coordinator;
use bw_expert::EngineState;
use bw_expert::ExpertMap;
use bw_expert::Message;
use bw_expert::Rank;
use bw_model::Incarnation;
use bw_model::MapVersion;

use crate::Player;

struct Node {
    agent: Rank,
    engine: EngineState,
}

/// Plays one group.
///
/// Commands: `group RANKS`, `deliver` (all messages and answers until none is left), `drop RANK`
/// (messages to that rank are lost from now on), `heal`, `prepare`, `propose STEP`, `give-up`,
/// `resend`, `steps COUNT`, `restart RANK`, `restart-coordinator`, `ask RANK`, `show`.
#[derive(Default)]
pub struct SwitchPlayer {
    nodes: Vec<Node>,
    coordinator: Option<Coordinator>,
    lives: u64,
    sent: Vec<(u32, Message)>,
    lost: Vec<u32>,
    mixed: bool,
}

impl Player for SwitchPlayer {
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String> {
        match words {
            ["group", ranks] => {
                let ranks = number(ranks)?;
                self.nodes = (0..ranks).map(new_node).collect();
                self.start_coordinator();
                Ok(Vec::new())
            }
            ["deliver"] => Ok(self.deliver_all()),
            ["drop", rank] => {
                self.lost.push(number(rank)? as u32);
                Ok(Vec::new())
            }
            ["heal"] => {
                self.lost.clear();
                Ok(Vec::new())
            }
            ["prepare"] => {
                let map =
                    ExpertMap { version: MapVersion(0), ranks: 0, slots: 0, layers: Vec::new() };
                let version = self.lead()?.prepare(map);
                self.resend()?;
                Ok(vec![version.map_or("busy".to_string(), |v| format!("map {v} is prepared"))])
            }
            ["propose", step] => {
                let step = number(step)?;
                let outbox = self.lead()?.propose(step);
                let count = outbox.len();
                self.sent.extend(outbox);
                Ok(vec![format!("{count} ranks are asked")])
            }
            ["give-up"] => {
                let outbox = self.lead()?.cancel();
                self.sent.extend(outbox);
                Ok(Vec::new())
            }
            ["resend"] => {
                self.resend()?;
                Ok(Vec::new())
            }
            ["steps", count] => Ok(self.run_steps(number(count)?)),
            ["restart", rank] => {
                let rank = number(rank)? as usize;
                self.restart(rank);
                Ok(Vec::new())
            }
            ["restart-coordinator"] => {
                self.restart(0);
                self.start_coordinator();
                Ok(Vec::new())
            }
            ["ask", rank] => self.ask(number(rank)? as usize),
            ["show"] => Ok(self.show()),
            _ => Err(format!("no such command: {}", words.join(" "))),
        }
    }
}

impl SwitchPlayer {
    fn lead(&mut self) -> Result<&mut Coordinator, String> {
        self.coordinator.as_mut().ok_or("no group".to_string())
    }

    fn start_coordinator(&mut self) {
        self.lives += 1;
        let step = self.nodes.first().map_or(0, |node| node.engine.step);
        let coordinator = Coordinator::new(self.nodes.len(), step, self.lives);
        // What an old life sent is lost with it; late messages have sessions of their own.
        self.sent = coordinator.resend();
        self.coordinator = Some(coordinator);
    }

    fn restart(&mut self, rank: usize) {
        let next = Incarnation(self.nodes[rank].agent.incarnation().0 + 1);
        self.nodes[rank].agent = Rank::new(rank as u32, next);
    }

    fn resend(&mut self) -> Result<(), String> {
        let outbox = self.lead()?.resend();
        self.sent.extend(outbox);
        Ok(())
    }

    fn deliver_all(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while !self.sent.is_empty() {
            for (rank, message) in std::mem::take(&mut self.sent) {
                if self.lost.contains(&rank) {
                    lines.push(format!("lost on the way to rank {rank}: {}", kind(&message)));
                    continue;
                }
                let answer = self.hand(rank as usize, &message);
                let Some(answer) = answer else { continue };
                if let Message::Refuse { reason, .. } = &answer {
                    lines.push(format!("rank {rank} refuses {}: {reason:?}", kind(&message)));
                }
                if let Some(coordinator) = &mut self.coordinator {
                    self.sent.extend(coordinator.handle(&answer));
                }
            }
        }
        let events = self.coordinator.as_mut().map(Coordinator::take_events);
        lines.extend(events.unwrap_or_default().iter().map(event_line));
        lines
    }

    fn hand(&mut self, rank: usize, message: &Message) -> Option<Message> {
        let node = &mut self.nodes[rank];
        let action = node.agent.handle(message, &node.engine);
        let taken = action.order.is_none_or(|order| node.engine.apply(order));
        if taken {
            action.done
        } else {
            action.failed
        }
    }

    /// A rank asks the other ranks what it lacks: the newest ballot, or a verdict.
    fn ask(&mut self, rank: usize) -> Result<Vec<String>, String> {
        let node = self.nodes.get(rank).ok_or("no such rank")?;
        let questions: Vec<Message> = node
            .agent
            .learn_query()
            .into_iter()
            .chain(node.agent.blocked_query(&node.engine))
            .collect();
        let mut lines = Vec::new();
        for question in questions {
            for peer in (0..self.nodes.len()).filter(|peer| *peer != rank) {
                let Some(answer) = self.hand(peer, &question) else { continue };
                lines.push(format!("rank {peer} tells: {}", kind(&answer)));
                self.hand(rank, &answer);
                break;
            }
        }
        Ok(lines)
    }

    fn run_steps(&mut self, count: u64) -> Vec<String> {
        let mut lines = Vec::new();
        for _ in 0..count {
            let step = self.nodes.iter().map(|node| node.engine.step).min().unwrap_or(0);
            let held = |node: &Node| node.engine.hold.is_some_and(|hold| hold.step <= step);
            if self.nodes.iter().any(held) {
                lines.push(format!("step {step} waits for a verdict"));
                return lines;
            }
            let maps: Vec<u64> = self.nodes.iter_mut().map(|node| start_step(node).0).collect();
            self.mixed |= maps.iter().any(|map| *map != maps[0]);
            lines.push(format!("step {step} with map {}", join(&maps)));
        }
        lines
    }

    fn show(&self) -> Vec<String> {
        let phase = match self.coordinator.as_ref().map(Coordinator::phase) {
            Some(Phase::Collecting) => "collecting",
            Some(Phase::Idle) => "idle",
            Some(Phase::Preparing { .. }) => "preparing",
            Some(Phase::Proposing { .. }) => "proposing",
            Some(Phase::Deciding { commit: true, .. }) => "committing",
            Some(Phase::Deciding { .. }) => "aborting",
            Some(Phase::Superseded) => "deposed",
            None => "none",
        };
        let mixed = if self.mixed { "a step had two maps" } else { "no step had two maps" };
        vec![format!("coordinator is {phase}"), mixed.to_string()]
    }
}

fn new_node(rank: u64) -> Node {
    let engine = EngineState {
        map: MapVersion(1),
        step: 0,
        hold: None,
        scheduled: None,
        loaded: vec![MapVersion(1)],
    };
    Node { agent: Rank::new(rank as u32, Incarnation(10 * (rank + 1))), engine }
}

fn start_step(node: &mut Node) -> MapVersion {
    let engine = &mut node.engine;
    if let Some(hold) = engine.scheduled.filter(|hold| hold.step == engine.step) {
        engine.map = hold.version;
    }
    engine.step += 1;
    engine.map
}

fn event_line(event: &Event) -> String {
    match event {
        Event::Collected => "all ranks have reported".to_string(),
        Event::Settled { hold, commit } => {
            let verdict = if *commit { "switched to" } else { "stay without" };
            format!("all ranks {verdict} map {} at step {}", hold.version, hold.step)
        }
        Event::StateLost { rank } => format!("rank {rank} lost its state"),
    }
}

fn kind(message: &Message) -> String {
    let text = format!("{message:?}");
    text.split([' ', '{']).next().unwrap_or("").to_lowercase()
}

fn join(maps: &[u64]) -> String {
    let first = maps.first().copied().unwrap_or(0);
    if maps.iter().all(|map| *map == first) {
        first.to_string()
    } else {
        format!("{maps:?}")
    }
}

fn number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is no number"))
}
