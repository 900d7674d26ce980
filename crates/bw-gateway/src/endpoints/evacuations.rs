//! Evacuated data centres, as the gateway learns, follows and passes them on.

use std::time::Duration;

use bw_direct::evacuations::Effect;
use bw_direct::evacuations::EvacuationNews;
use bw_direct::evacuations::Evacuations;
use bw_model::Position;
use log::info;

use super::Endpoints;

impl Endpoints {
    /// Sets the time within which evacuations take effect; `None` if the deployment has none. What is known
    /// stays, unless evacuations are switched on or off.
    pub fn set_evacuation_bound(&self, bound: Option<Duration>) {
        self.lock().standings.evacuations.set_bound(bound);
    }

    /// Replaces the evacuated data centres by a complete list; `read_at` is the start of the call if the
    /// store answered it. Returns whether others are evacuated than before.
    pub fn replace_evacuations(
        &self,
        centres: Vec<String>,
        position: Position,
        read_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        let mut state = self.lock();
        let evacuations = &mut state.standings.evacuations;
        let effect = evacuations.replace(centres, position, read_at, now);
        log_effect(evacuations, effect, source_name(read_at), now)
    }

    /// Applies changes in their order, each a data centre and whether its evacuation has begun; `read_at` and
    /// result as for [`Self::replace_evacuations`].
    pub fn change_evacuations(
        &self,
        changes: &[(String, bool)],
        position: Position,
        read_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        let mut state = self.lock();
        let evacuations = &mut state.standings.evacuations;
        let effect = evacuations.apply(changes, position, read_at, now);
        log_effect(evacuations, effect, source_name(read_at), now)
    }

    /// Applies a peer's news; result as for [`Self::replace_evacuations`].
    pub fn receive_evacuations(&self, news: &EvacuationNews, now: Duration) -> bool {
        let mut state = self.lock();
        let evacuations = &mut state.standings.evacuations;
        let effect = evacuations.receive(news, now);
        log_effect(evacuations, effect, "news", now)
    }

    /// Returns the evacuations for the news to peers, as [`Evacuations::news`].
    pub fn evacuation_news(&self, full: bool, now: Duration) -> Option<EvacuationNews> {
        self.lock().standings.evacuations.news(full, now)
    }

    /// Returns whether it is known which data centres are evacuated, or the deployment has no evacuations.
    pub fn knows_evacuations(&self) -> bool {
        self.lock().standings.evacuations.is_known()
    }

    /// Returns the position up to which evacuations are known.
    pub fn evacuation_position(&self) -> Position {
        self.lock().standings.evacuations.position()
    }

    /// Returns the evacuated data centres, separated by commas, and `unknown` before they are known.
    pub fn evacuated_text(&self) -> String {
        let state = self.lock();
        let evacuations = &state.standings.evacuations;
        if evacuations.is_known() {
            text(evacuations)
        } else {
            "unknown".to_string()
        }
    }

    /// Returns the number of evacuated data centres and the time since they were last read from the store.
    pub fn evacuation_gauges(&self, now: Duration) -> (usize, Option<Duration>) {
        let state = self.lock();
        let evacuations = &state.standings.evacuations;
        (evacuations.centres().count(), evacuations.age(now))
    }
}

fn text(evacuations: &Evacuations) -> String {
    evacuations.centres().collect::<Vec<&str>>().join(",")
}

fn source_name(read_at: Option<Duration>) -> &'static str {
    if read_at.is_some() {
        "store"
    } else {
        "peer"
    }
}

/// Logs a change, and returns whether there was one.
fn log_effect(evacuations: &Evacuations, effect: Effect, source: &str, now: Duration) -> bool {
    if effect != Effect::Changed {
        return false;
    }
    info!(
        "event=evacuations centres=[{}] position={} age_ms={} source={source}",
        text(evacuations),
        evacuations.position(),
        evacuations.age(now).map_or(-1, |age| age.as_millis() as i64)
    );
    true
}
