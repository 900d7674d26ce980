//! Commands to the ranks of a group, the answers to them, and rank state reports.

use bw_model::Fence;
use bw_model::MapVersion;

/// An operation that a rank carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Command {
    /// Copy the experts that the map needs and the rank does not hold.
    Prepare(MapVersion),
    /// Use a prepared map from the start of the given step.
    Arm {
        /// Version of the map.
        version: MapVersion,
        /// First step that uses the map.
        step: u64,
    },
    /// Cancel the arming of a map.
    Disarm(MapVersion),
    /// Prevent the group from starting the step until this rank receives its release.
    Hold(u64),
    /// Allow the group to start a step that is held at this rank.
    Release(u64),
}

/// A command with its destination and the conditions under which the rank accepts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RankCommand {
    /// Destination rank.
    pub rank: u16,
    /// Incarnation of the group for which the command is valid.
    pub epoch: u64,
    /// Fencing number. Some deployments' ranks refuse a command after one with a higher number;
    /// others ignore it, so no safety argument uses it.
    pub fence: Fence,
    /// Operation to carry out.
    pub command: Command,
}

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandOutcome {
    /// The command is complete, now or by an earlier delivery.
    Done,
    /// The rank has started the command and completes it later.
    Started,
    /// The command does not match the rank's state, its step or the group's incarnation.
    Refused,
    /// The rank has received a higher fencing number.
    Stale,
    /// No answer arrived: the command may be carried out now, later or never.
    Unknown,
}

/// State that a rank reports; it lags behind the actual state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RankState {
    /// Incarnation of the group.
    pub epoch: u64,
    /// Whether the group accepts requests.
    pub open: bool,
    /// The last started step.
    pub step: u64,
    /// Version of the map in use.
    pub map: MapVersion,
    /// Version whose experts have all been copied, in addition to the map in use.
    pub prepared: Option<MapVersion>,
    /// Version of the armed map and the first step that uses it.
    pub armed: Option<(MapVersion, u64)>,
    /// Step that is held at this rank.
    pub held: Option<u64>,
}
