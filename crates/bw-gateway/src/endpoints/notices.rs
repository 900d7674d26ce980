//! What endpoints ask of the gateway in their answers, as the gateway learns and passes it on.

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::notices::LeavingNews;
use bw_direct::request::ReplyHead;
use bw_model::Key;
use log::info;
use log::warn;

use super::Endpoints;

impl Endpoints {
    /// Records what the head of an answer of an endpoint asks of this gateway, and logs it. Returns whether
    /// the endpoint takes fewer requests than before.
    pub fn record_notices(&self, key: EndpointKey, reply: &ReplyHead, now: Duration) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(record) = state.standings.table.get(key) else { return false };
        let name = &record.endpoint.name;
        let notices = &mut state.standings.notices;
        let extras = &mut state.extras[key.index()];
        let mut changed = false;
        if reply.leaving && notices.record_leaving(key, now) {
            extras.idle.clear();
            info!("event=endpoint_leaving endpoint={name} source=answer");
            changed = true;
        }
        match reply.wait {
            Some(Ok(wait)) => {
                extras.ignored_wait = None;
                let until = notices.record_wait(key, wait, now);
                info!(
                    "event=endpoint_wait endpoint={name} asked_ms={} remaining_ms={}",
                    wait.get().as_millis(),
                    until.saturating_sub(now).as_millis()
                );
                changed = true;
            }
            Some(Err(error)) if extras.ignored_wait.replace(error) != Some(error) => {
                warn!("event=endpoint_wait_ignored endpoint={name} reason=\"{error}\"");
            }
            None if !reply.not_run => notices.record_answer(key, now),
            Some(Err(_)) | None => {}
        }
        changed
    }

    /// Applies the notices of leaving endpoints that a peer has received; endpoints that are unknown, or have
    /// begun another life, are ignored.
    pub fn receive_leaving(&self, news: &[LeavingNews], now: Duration) {
        let mut state = self.lock();
        let state = &mut *state;
        for news in news {
            let key = state.by_hash.get(&news.endpoint).copied();
            let Some(record) = key.and_then(|key| state.standings.table.get(key)) else { continue };
            let Some(key) = key.filter(|_| record.endpoint.born == news.born) else { continue };
            let age = Duration::from_millis(u64::from(news.age));
            if state.standings.notices.receive_leaving(key, age, now) {
                state.extras[key.index()].idle.clear();
                info!("event=endpoint_leaving endpoint={} source=peer", record.endpoint.name);
            }
        }
    }

    /// Returns the leaving endpoints that have told this gateway, for the news to peers.
    pub fn leaving_news(&self, now: Duration) -> Vec<LeavingNews> {
        let state = self.lock();
        let news = state.standings.notices.news(now).into_iter().filter_map(|(key, age)| {
            Some(LeavingNews {
                endpoint: state.extras[key.index()].name_hash,
                born: state.standings.table.get(key)?.endpoint.born,
                age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        news.collect()
    }
}
