//! Sessions of a map switch by messages: a coordinator, the agents of the ranks and their engines.

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

/// One rank: its agent and its engine.
struct Node {
    agent: Rank,
    engine: EngineState,
}

/// Player for one group.
///
/// Commands: `group RANKS`, `deliver` (all messages and their answers until none is in flight),
/// `drop RANK` (messages to that rank are lost from now on), `heal` (no more messages are lost),
/// `prepare`, `propose STEP`, `give-up` (cancels the switch), `resend`, `steps COUNT`,
/// `restart RANK`, `restart-coordinator`, `ask RANK` (sends its queries to the other ranks),
/// `show`.
#[derive(Default)]
pub struct SwitchPlayer {
    nodes: Vec<Node>,
    coordinator: Option<Coordinator>,
    /// Nonce of the newest coordinator.
    last_nonce: u64,
    in_flight: Vec<(u32, Message)>,
    /// Ranks to which messages are lost.
    unreachable: Vec<u32>,
    /// Whether a step ran with two maps.
    mixed_maps: bool,
}

impl Player for SwitchPlayer {
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String> {
        match words {
            ["group", ranks] => {
                let ranks = parse_number(ranks)?;
                self.nodes = (0..ranks).map(new_node).collect();
                self.start_coordinator();
                Ok(Vec::new())
            }
            ["deliver"] => Ok(self.deliver_all()),
            ["drop", rank] => {
                self.unreachable.push(parse_number(rank)? as u32);
                Ok(Vec::new())
            }
            ["heal"] => {
                self.unreachable.clear();
                Ok(Vec::new())
            }
            ["prepare"] => {
                let map =
                    ExpertMap { version: MapVersion(0), ranks: 0, slots: 0, layers: Vec::new() };
                let version = self.coordinator_mut()?.prepare(map);
                self.resend()?;
                Ok(vec![version.map_or("busy".to_string(), |v| format!("map {v} is prepared"))])
            }
            ["propose", step] => {
                let step = parse_number(step)?;
                let outbox = self.coordinator_mut()?.propose(step);
                let count = outbox.len();
                self.in_flight.extend(outbox);
                Ok(vec![format!("{count} ranks are asked")])
            }
            ["give-up"] => {
                let outbox = self.coordinator_mut()?.cancel();
                self.in_flight.extend(outbox);
                Ok(Vec::new())
            }
            ["resend"] => {
                self.resend()?;
                Ok(Vec::new())
            }
            ["steps", count] => Ok(self.run_steps(parse_number(count)?)),
            ["restart", rank] => {
                let rank = parse_number(rank)? as usize;
                self.restart(rank);
                Ok(Vec::new())
            }
            ["restart-coordinator"] => {
                self.restart(0);
                self.start_coordinator();
                Ok(Vec::new())
            }
            ["ask", rank] => self.query_peers(parse_number(rank)? as usize),
            ["show"] => Ok(self.show()),
            _ => Err(format!("unknown command: {}", words.join(" "))),
        }
    }
}

impl SwitchPlayer {
    fn coordinator_mut(&mut self) -> Result<&mut Coordinator, String> {
        self.coordinator.as_mut().ok_or("no group has been created".to_string())
    }

    fn start_coordinator(&mut self) {
        self.last_nonce += 1;
        let step = self.nodes.first().map_or(0, |node| node.engine.step);
        let coordinator = Coordinator::new(self.nodes.len(), step, self.last_nonce);
        // The messages in flight of the old incarnation are lost with it; other sessions cover late
        // messages.
        self.in_flight = coordinator.resend();
        self.coordinator = Some(coordinator);
    }

    fn restart(&mut self, rank: usize) {
        let next = Incarnation(self.nodes[rank].agent.incarnation().0 + 1);
        self.nodes[rank].agent = Rank::new(rank as u32, next);
    }

    fn resend(&mut self) -> Result<(), String> {
        let outbox = self.coordinator_mut()?.resend();
        self.in_flight.extend(outbox);
        Ok(())
    }

    fn deliver_all(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while !self.in_flight.is_empty() {
            for (rank, message) in std::mem::take(&mut self.in_flight) {
                if self.unreachable.contains(&rank) {
                    lines.push(format!(
                        "lost on the way to rank {rank}: {}",
                        message_name(&message)
                    ));
                    continue;
                }
                let answer = self.deliver(rank as usize, &message);
                let Some(answer) = answer else { continue };
                if let Message::Refuse { reason, .. } = &answer {
                    lines.push(format!(
                        "rank {rank} refuses {}: {reason:?}",
                        message_name(&message)
                    ));
                }
                if let Some(coordinator) = &mut self.coordinator {
                    self.in_flight.extend(coordinator.handle(&answer));
                }
            }
        }
        let events = self.coordinator.as_mut().map(Coordinator::take_events);
        lines.extend(events.unwrap_or_default().iter().map(describe_event));
        lines
    }

    fn deliver(&mut self, rank: usize, message: &Message) -> Option<Message> {
        let node = &mut self.nodes[rank];
        let action = node.agent.handle(message, &node.engine);
        let applied = action.order.is_none_or(|order| node.engine.apply(order));
        if applied {
            action.done
        } else {
            action.failed
        }
    }

    /// Sends the queries of a rank, for the newest ballot or for a decision, to the other ranks in
    /// turn until one of them answers.
    fn query_peers(&mut self, rank: usize) -> Result<Vec<String>, String> {
        let node = self.nodes.get(rank).ok_or("unknown rank")?;
        let queries: Vec<Message> = node
            .agent
            .learn_query()
            .into_iter()
            .chain(node.agent.blocked_query(&node.engine))
            .collect();
        let mut lines = Vec::new();
        for query in queries {
            for peer in (0..self.nodes.len()).filter(|peer| *peer != rank) {
                let Some(answer) = self.deliver(peer, &query) else { continue };
                lines.push(format!("rank {peer} tells: {}", message_name(&answer)));
                self.deliver(rank, &answer);
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
            self.mixed_maps |= maps.iter().any(|map| *map != maps[0]);
            lines.push(format!("step {step} with map {}", format_maps(&maps)));
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
        let mixed = if self.mixed_maps { "a step had two maps" } else { "no step had two maps" };
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

fn describe_event(event: &Event) -> String {
    match event {
        Event::Collected => "all ranks have reported".to_string(),
        Event::Settled { hold, commit } => {
            let outcome = if *commit { "switched to" } else { "stay without" };
            format!("all ranks {outcome} map {} at step {}", hold.version, hold.step)
        }
        Event::StateLost { rank } => format!("rank {rank} lost its state"),
    }
}

fn message_name(message: &Message) -> String {
    let text = format!("{message:?}");
    text.split([' ', '{']).next().unwrap_or("").to_lowercase()
}

fn format_maps(maps: &[u64]) -> String {
    let first = maps.first().copied().unwrap_or(0);
    if maps.iter().all(|map| *map == first) {
        first.to_string()
    } else {
        format!("{maps:?}")
    }
}

fn parse_number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is not a number"))
}
