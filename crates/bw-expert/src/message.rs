//! Messages of the map switch and of the planner.

use bw_model::Fence;
use bw_model::Incarnation;
use bw_model::MapVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::map::ExpertMap;

/// Orders the incarnations of a group's coordinator; the nonce distinguishes incarnations with
/// equal numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Number, raised above every number that the ranks report.
    pub number: u64,
    /// Random value of the incarnation.
    pub nonce: u64,
}

/// Proposed or decided switch: a map and the step from which it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hold {
    /// Version of the map.
    pub version: MapVersion,
    /// First step that uses the map.
    pub step: u64,
}

/// State of the engine of one rank, relevant for map switches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineState {
    /// Map of the next step, unless a switch is scheduled for that step.
    pub map: MapVersion,
    /// Next step to start.
    pub step: u64,
    /// Held step, which must not start before a decision.
    pub hold: Option<Hold>,
    /// Last decided switch, whether its step has started or not.
    pub scheduled: Option<Hold>,
    /// Maps whose weights are loaded.
    pub loaded: Vec<MapVersion>,
}

/// Order of an agent to the engine of its rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Load the weights of a map in addition to the current ones.
    Load(ExpertMap),
    /// Do not start the step before a decision; fails once the step has started, or while any step
    /// is held.
    Hold(Hold),
    /// Use the map from the held step on; fails if this step is not held.
    Schedule(Hold),
    /// Let the held step start without a switch.
    Release(Hold),
    /// Free the weights of a map whose switch was cancelled; fails if the map is in use.
    Discard(MapVersion),
}

impl EngineState {
    /// Applies an order as engines are required to; returns false when the order is rejected.
    pub fn apply(&mut self, order: EngineOrder) -> bool {
        match order {
            EngineOrder::Load(map) => {
                if !self.loaded.contains(&map.version) {
                    self.loaded.push(map.version);
                }
                true
            }
            EngineOrder::Hold(hold) => {
                let free = self.hold.is_none() && self.step <= hold.step;
                if free {
                    self.hold = Some(hold);
                }
                free
            }
            EngineOrder::Schedule(hold) => {
                let held = self.hold == Some(hold);
                if held {
                    self.hold = None;
                    self.scheduled = Some(hold);
                }
                held
            }
            EngineOrder::Release(hold) => {
                if self.hold == Some(hold) {
                    self.hold = None;
                }
                true
            }
            EngineOrder::Discard(version) => {
                let free = self.map != version;
                self.loaded.retain(|loaded| !free || *loaded != version);
                free
            }
        }
    }
}

/// Reason why a rank refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The message is addressed to another incarnation of the agent.
    OtherIncarnation,
    /// The rank follows another ballot.
    OtherBallot(Ballot),
    /// The step has started, or the engine rejected the order.
    Late,
    /// Another switch is pending, or the step to commit is not held.
    Held,
    /// The proposal was already decided.
    Settled,
    /// The map's weights are not loaded.
    Unprepared,
    /// The agent has restarted and has not learned the newest ballot yet.
    Unlearned,
}

/// A message between the coordinator, which is the agent of rank 0, and the agents of all ranks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Request to follow this ballot and no older one, and to report.
    Collect {
        /// Ballot of the coordinator.
        ballot: Ballot,
    },
    /// Request to accept this ballot as the newest one, since every rank has reported to it.
    Adopt {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
    },
    /// Request to load the weights of a map.
    Prepare {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// The map.
        map: ExpertMap,
    },
    /// Request to hold the step until the decision.
    Propose {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// Number of the proposal within the ballot.
        number: u64,
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
    /// Decision to use the map from the held step.
    Commit {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
    /// Decision to start the held step with the current map.
    Abort {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// Number of the proposal within the ballot.
        number: u64,
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
    /// Request to free the weights of a map whose switch was cancelled.
    Discard {
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// The map.
        version: MapVersion,
    },
    /// Answer to [`Message::Collect`] and [`Message::Adopt`].
    Report {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Ballot that the rank follows.
        ballot: Ballot,
        /// Whether the rank has learned the newest ballot since its agent started. If not, it may
        /// have followed a newer ballot before the restart.
        learned: bool,
        /// State of the engine of the rank.
        state: EngineState,
    },
    /// Query of a restarted agent to other ranks for the newest ballot.
    Learn {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
    },
    /// Answer to [`Message::Learn`] by a rank that has learned the newest ballot.
    Known {
        /// Incarnation of the agent to which the message is addressed.
        to: Incarnation,
        /// The newest ballot.
        ballot: Ballot,
    },
    /// Answer to [`Message::Prepare`]: the weights are loaded.
    Prepared {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The map.
        version: MapVersion,
    },
    /// Answer to [`Message::Propose`]: the step is held.
    Accept {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Number of the proposal.
        number: u64,
    },
    /// Answer to [`Message::Commit`] and [`Message::Abort`]: the decision is applied.
    Settled {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Ballot of the decision.
        ballot: Ballot,
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
    /// Answer to any message that the rank does not follow.
    Refuse {
        /// Rank of the sender.
        rank: u32,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Ballot of the refused message.
        ballot: Ballot,
        /// Reason for the refusal.
        reason: Reason,
    },
    /// Query to the coordinator and to other ranks for the decision on a held step at which the
    /// sender's engine waits.
    Blocked {
        /// Rank of the sender.
        rank: u32,
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
    /// Answer to [`Message::Blocked`] by a rank whose engine has the switch scheduled.
    Committed {
        /// Version of the map and the step from which it is used.
        hold: Hold,
    },
}

/// An order of the planner to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the planner's lease.
    pub fence: Fence,
    /// The map to switch to; the coordinator assigns its version.
    pub map: ExpertMap,
}

/// Answer to an order of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The switch has started, with the version assigned to the map.
    Begun(MapVersion),
    /// Another switch is in progress, or the group is not ready.
    Busy,
    /// The planner has been replaced by one with this fencing number.
    Stale(Fence),
    /// The agent has not learned the current fencing number since its restart.
    Unlearned,
    /// The map does not fit the group.
    Unfit,
}

/// Report of the gate agent of a group to the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The map in use; `None` if the group is not running.
    pub map: Option<ExpertMap>,
    /// Number of steps since the group started.
    pub step: u64,
    /// Whether a switch is in progress.
    pub busy: bool,
    /// Tokens of each expert in each layer since the previous report.
    pub demand: Vec<Vec<u32>>,
}
