//! Decides whether an endpoint may get a request now, and if not, until when.
//!
//! Load pattern: endpoints leave, ask for time, name limits or fail while callers keep coming, and what the
//! endpoint list says of them is late.

use std::fmt;
use std::time::Duration;

use crate::cold::ColdEndpoints;
use crate::endpoint::EndpointKey;
use crate::endpoint::Table;
use crate::evacuations::Evacuations;
use crate::health::Health;
use crate::health::HealthState;
use crate::limits::Limits;
use crate::limits::Permission;
use crate::notices::Notices;
use crate::notices::Wait;

/// Part of the time in which a leaving endpoint still takes requests that is used. The rest covers requests
/// on their way.
const DRAIN_FRACTION: f64 = 0.5;
/// Longest time for which requests wait for a cold endpoint rather than being refused at once.
const COLD_WAIT: Duration = Duration::from_millis(250);

/// Whether an endpoint may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Free,
    /// It has asked for a time that is over: one request of this gateway at a time.
    OneAtATime,
    /// It has failed before: one request at a time, unless most endpoints of the service have failed.
    Trial,
    /// It is leaving, but may still get requests if its service has no other endpoint.
    LastResort,
    /// The same, and it has asked for a time that is over: one request of this gateway at a time.
    LastResortTrial,
    /// It may not, for the given reason.
    Barred(Bar),
}

/// Reason why an endpoint may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// The endpoint list does not have it, or has it as leaving.
    Unlisted,
    /// Its data centre is evacuated.
    Evacuated,
    /// It has said in an answer that it is leaving.
    Leaving,
    /// It has asked this gateway to send nothing until the given time.
    AskedToWait(Duration),
    /// It names a limit, and this gateway has to save up first.
    Limited,
    /// It names a limit, all parts of which belong to other gateways.
    LimitedElsewhere,
    /// It is cold, and this gateway has used its part of what cold endpoints may get.
    Cold,
    /// It fails more often than the others of its service. Ignored if most of them do.
    Ejected,
}

impl fmt::Display for Bar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Unlisted => "unlisted",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::AskedToWait(_) => "asked_to_wait",
            Self::Limited => "limited",
            Self::LimitedElsewhere => "limited_elsewhere",
            Self::Cold => "cold",
            Self::Ejected => "ejected",
        };
        f.write_str(text)
    }
}

/// When a service may take a request that found no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// As soon as a slot is free, as far as is known.
    Open,
    /// Not before the given time, at which the first endpoint takes requests again.
    NotBefore(Duration),
    /// Not with the endpoints that are known.
    Closed,
}

/// What is known of all endpoints, by which requests are allowed.
#[derive(Clone, Debug)]
pub struct Standings {
    /// The endpoint list.
    pub table: Table,
    /// Failures.
    pub health: Health,
    /// Limits on the requests from all gateways together.
    pub limits: Limits,
    /// What endpoints have asked of this gateway.
    pub notices: Notices,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Cold endpoints.
    pub cold: ColdEndpoints,
}

impl Standings {
    /// Creates the standings of no endpoints for gateway `own`, in a deployment without evacuations.
    pub fn new(own: String) -> Self {
        Self {
            cold: ColdEndpoints::new(&own),
            table: Table::new(),
            health: Health::default(),
            limits: Limits::new(own),
            notices: Notices::default(),
            evacuations: Evacuations::default(),
        }
    }

    /// Returns whether an endpoint may get a request now. `drain` is the time after a notice in which a
    /// leaving endpoint still takes requests.
    pub fn eligibility(&self, key: EndpointKey, drain: Duration, now: Duration) -> Eligibility {
        if !self.table.is_usable(key, now) {
            return Eligibility::Barred(Bar::Unlisted);
        }
        let centre = self.table.get(key).map(|record| record.endpoint.centre.as_str());
        if centre.is_some_and(|centre| self.evacuations.is_evacuated(centre)) {
            return Eligibility::Barred(Bar::Evacuated);
        }
        let leaving_for = self.notices.leaving_for(key, now);
        let wait = self.notices.wait(key, now);
        if leaving_for.is_some_and(|time| time >= drain.mul_f64(DRAIN_FRACTION)) {
            return Eligibility::Barred(Bar::Leaving);
        }
        if let Wait::Until(until) = wait {
            return Eligibility::Barred(Bar::AskedToWait(until));
        }
        match self.limits.permission(key, now) {
            Permission::Free | Permission::Granted => {}
            Permission::Later => return Eligibility::Barred(Bar::Limited),
            Permission::Elsewhere => return Eligibility::Barred(Bar::LimitedElsewhere),
        }
        if !self.cold.permission(key, now).allows() {
            return Eligibility::Barred(Bar::Cold);
        }
        match (leaving_for.is_some(), wait == Wait::Trial) {
            (true, true) => return Eligibility::LastResortTrial,
            (true, false) => return Eligibility::LastResort,
            (false, true) => return Eligibility::OneAtATime,
            (false, false) => {}
        }
        match self.health.state(key, now) {
            HealthState::Healthy => Eligibility::Free,
            HealthState::Trial => Eligibility::Trial,
            HealthState::Ejected => Eligibility::Barred(Bar::Ejected),
        }
    }

    /// Returns why a request that was placed at an endpoint may no longer be sent to it; `None` if it may.
    pub fn bar_to_send(&self, key: EndpointKey, drain: Duration, now: Duration) -> Option<Bar> {
        match self.eligibility(key, drain, now) {
            Eligibility::Barred(
                bar @ (Bar::Unlisted | Bar::Evacuated | Bar::Leaving | Bar::AskedToWait(_)),
            ) => Some(bar),
            _ => None,
        }
    }

    /// Returns when a service may take a request that must not be sent to the endpoints in `exclude`.
    pub fn outlook(
        &self,
        service: &str,
        exclude: &[EndpointKey],
        drain: Duration,
        now: Duration,
    ) -> Outlook {
        let mut earliest: Option<Duration> = None;
        for key in self.table.usable(service, now).filter(|key| !exclude.contains(key)) {
            match self.eligibility(key, drain, now) {
                Eligibility::Barred(
                    Bar::Unlisted | Bar::Evacuated | Bar::Leaving | Bar::LimitedElsewhere,
                ) => {}
                Eligibility::Barred(Bar::AskedToWait(until)) => {
                    earliest = Some(earliest.map_or(until, |known| known.min(until)));
                }
                Eligibility::Barred(Bar::Cold) => {
                    let until = self.cold.opens_at(key, now).unwrap_or(now);
                    if until <= now + COLD_WAIT {
                        return Outlook::Open;
                    }
                    earliest = Some(earliest.map_or(until, |known| known.min(until)));
                }
                _ => return Outlook::Open,
            }
        }
        earliest.map_or(Outlook::Closed, Outlook::NotBefore)
    }
}
