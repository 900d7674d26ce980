//! Messages of the map switch and of the planner.

use bw_model::Fence;
use bw_model::Incarnation;
use bw_model::MapVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::map::ExpertMap;

/// Orders the lives of a group's coordinator; the nonce tells lives with equal numbers apart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Raised above every number that the ranks report.
    pub number: u64,
    /// Drawn at random by each life.
    pub nonce: u64,
}

/// A step from which a map is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hold {
    /// The map.
    pub version: MapVersion,
    /// First step with that map.
    pub step: u64,
}

/// What an engine's rank says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineState {
    /// Map of the next step, unless a switch is scheduled for it.
    pub map: MapVersion,
    /// Next step to start.
    pub step: u64,
    /// Step that must not start before a verdict.
    pub hold: Option<Hold>,
    /// The last switch that was decided, done or not.
    pub scheduled: Option<Hold>,
    /// Maps whose weights are loaded.
    pub loaded: Vec<MapVersion>,
}

/// What an agent has its engine's rank do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Load the weights of a map beside the present ones.
    Load(ExpertMap),
    /// Do not start the step before a verdict; fails once the step has started.
    Hold(Hold),
    /// Use the map from the held step on.
    Schedule(Hold),
    /// Give the held step free without a switch.
    Release(Hold),
    /// Free the weights of a map that was given up.
    Discard(MapVersion),
}

impl EngineState {
    /// Carries out an order as an engine must; false when it does not take it.
    pub fn follow(&mut self, order: EngineOrder) -> bool {
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

/// Why a rank refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// Meant for another life of the agent.
    OtherIncarnation,
    /// The rank obeys another ballot.
    OtherBallot(Ballot),
    /// The step has started, or the engine did not take the order.
    Late,
    /// Another switch is not settled yet.
    Held,
    /// The proposal was settled before.
    Settled,
    /// The map's weights are not loaded.
    Unprepared,
    /// The agent has restarted and has not learned the newest ballot yet.
    Unlearned,
}

/// A message between the coordinator, which is the agent of rank 0, and the agents of all ranks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Obey this ballot and no older one, and report.
    Collect {
        /// The coordinator's ballot.
        ballot: Ballot,
    },
    /// Take this ballot for the newest one: every rank has reported to it.
    Adopt {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
    },
    /// Load a map.
    Prepare {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// The map.
        map: ExpertMap,
    },
    /// Promise not to start the step before a verdict.
    Propose {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// Number of the proposal within the ballot.
        number: u64,
        /// Map and step.
        hold: Hold,
    },
    /// Use the map from the step on.
    Commit {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// Map and step.
        hold: Hold,
    },
    /// Start the step with the present map.
    Abort {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// Number of the proposal within the ballot.
        number: u64,
        /// Map and step.
        hold: Hold,
    },
    /// Free a map that was given up.
    Discard {
        /// The coordinator's ballot.
        ballot: Ballot,
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// The map.
        version: MapVersion,
    },
    /// On [`Message::Collect`].
    Report {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
        /// Ballot that the rank obeys.
        ballot: Ballot,
        /// Whether no newer ballot can have been forgotten by a restart.
        learned: bool,
        /// State of its engine.
        state: EngineState,
    },
    /// A restarted agent asks another rank for the newest ballot.
    Learn {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
    },
    /// On [`Message::Learn`] from a rank that has learned the newest ballot itself.
    Known {
        /// Life of the agent it is meant for.
        to: Incarnation,
        /// The newest ballot.
        ballot: Ballot,
    },
    /// On [`Message::Prepare`]: the weights are loaded.
    Prepared {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
        /// The map.
        version: MapVersion,
    },
    /// On [`Message::Propose`].
    Accept {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Number of the proposal.
        number: u64,
    },
    /// On [`Message::Commit`] and [`Message::Abort`]: done.
    Settled {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
        /// Ballot of the verdict.
        ballot: Ballot,
        /// Map and step.
        hold: Hold,
    },
    /// On any message that the rank does not follow.
    Refuse {
        /// The sender.
        rank: u32,
        /// Life of the sender.
        incarnation: Incarnation,
        /// Ballot of the refused message.
        ballot: Ballot,
        /// Why.
        reason: Reason,
    },
    /// A rank's engine waits at a held step; asked of the coordinator and of other ranks.
    Blocked {
        /// The sender.
        rank: u32,
        /// Map and step.
        hold: Hold,
    },
    /// On [`Message::Blocked`] from a rank whose engine has the verdict to switch.
    Committed {
        /// Map and step.
        hold: Hold,
    },
}

/// An order of the planner to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the planner's lease.
    pub fence: Fence,
    /// The map to switch to; its version is given by the coordinator.
    pub map: ExpertMap,
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The switch has begun.
    Begun(MapVersion),
    /// Another switch is under way, or the group is not ready.
    Busy,
    /// A newer planner exists.
    Stale(Fence),
    /// The agent has not learned the current fencing number since its restart.
    Unlearned,
    /// The map does not fit the group.
    Unfit,
}

/// What the gate agent of a group tells the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The map in force, if the group runs.
    pub map: Option<ExpertMap>,
    /// Steps run since the group started.
    pub step: u64,
    /// Whether a switch is under way.
    pub busy: bool,
    /// Tokens of each expert of each layer since the last report.
    pub demand: Vec<Vec<u32>>,
}
