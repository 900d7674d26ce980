//! Connections to endpoints that are open and carry no request.

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_http::Channel;
use bw_model::Key;

use super::Endpoints;
use super::IdleConnection;

/// Upper bound on the idle connections kept to one endpoint.
const IDLE_MAX: usize = 4;
/// Idle timeout assumed for an endpoint that does not announce one.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Margin before the idle timeout of an endpoint in which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

impl Endpoints {
    /// Removes and returns an idle connection that is still usable.
    pub fn take_idle(&self, key: EndpointKey, now: Duration) -> Option<Channel> {
        let mut state = self.lock();
        let idle = &mut state.extras[key.index()].idle;
        while let Some(one) = idle.pop() {
            if one.channel.is_ready() && now < one.expires_at {
                return Some(one.channel);
            }
        }
        None
    }

    /// Stores a connection that can carry another request. `idle_timeout` is the one that the
    /// endpoint announced.
    pub fn put_idle(
        &self,
        key: EndpointKey,
        channel: Channel,
        idle_timeout: Option<Duration>,
        now: Duration,
    ) {
        let expires_at = now + idle_timeout.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let mut state = self.lock();
        if expires_at <= now || !state.standings.table.is_usable(key, now) {
            return;
        }
        let kept = &mut state.extras[key.index()].idle;
        kept.retain(|one| now < one.expires_at);
        if kept.len() < IDLE_MAX {
            kept.push(IdleConnection { channel, expires_at });
        }
    }
}
