//! Length of the steps of each group, as the pauses in its streams show it.

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;

use super::Endpoints;

impl Endpoints {
    /// Records that a stream's event arrived `pause` after the previous one.
    pub fn record_pause(&self, key: EndpointKey, pause: Duration, now: Duration) {
        let mut state = self.lock();
        let member =
            state.standings.table.get(key).and_then(|record| record.endpoint.member.as_ref());
        let Some(group) = member.map(|member| member.group.clone()) else { return };
        state.steps.entry(group).or_default().record(pause, now);
    }

    /// Returns the current length of a group's steps; `None` if too few streams have shown it.
    pub fn step_length(&self, group: &str, now: Duration) -> Option<Duration> {
        self.lock().steps.get(group)?.current(now)
    }

    /// Returns whether a group's steps have become longer than its load explains.
    pub fn has_step_jumped(&self, group: &str, now: Duration) -> bool {
        self.lock().steps.get(group).is_some_and(|steps| steps.has_jumped(now))
    }
}
