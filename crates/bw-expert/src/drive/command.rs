//! Commands to the ranks of a group, their answers, and what ranks report.

use bw_model::Fence;
use bw_model::MapVersion;

/// A command to one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Copy the experts that a map needs.
    Prepare(MapVersion),
    /// Use a prepared map from the start of a step on.
    Arm {
        /// Version of the map.
        version: MapVersion,
        /// The step.
        step: u64,
    },
    /// Do not use an armed map.
    Disarm(MapVersion),
    /// Keep the group from starting a step until it is released at this rank.
    Hold(u64),
    /// Let the group start a step that is held at this rank.
    Release(u64),
}

/// A command on its way to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sending {
    /// The rank.
    pub rank: u16,
    /// Life of the group that is meant; `None` for any.
    pub epoch: Option<u64>,
    /// Fencing number; a rank that has seen a higher one refuses.
    pub fence: Fence,
    /// The command.
    pub command: Command,
}

/// How a rank answered a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is done, or was done before.
    Done,
    /// It has begun and takes a while.
    Begun,
    /// It does not fit the rank's state, its step or the group's life.
    Refused,
    /// The rank has seen a higher fencing number.
    Outdated,
    /// No answer came: the command may be carried out now, later or never.
    Silent,
}

/// What a rank reports of itself, as of a while ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RankState {
    /// Life of the group.
    pub epoch: u64,
    /// Whether the group takes requests.
    pub open: bool,
    /// The last step that was started.
    pub step: u64,
    /// Version of the map in use.
    pub map: MapVersion,
    /// Version whose experts are complete beside the map in use.
    pub prepared: Option<MapVersion>,
    /// Version and step of an armed map.
    pub armed: Option<(MapVersion, u64)>,
    /// Step that is held at this rank.
    pub held: Option<u64>,
}
