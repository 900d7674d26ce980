//! Regions in which requests of a route or workspace may run.
//!
//! Load pattern: the endpoints of a region fail or are full while those of other regions are free, and must
//! not get its requests.

use std::fmt;

use smallvec::SmallVec;

/// Regions in which a request may run; any, if neither its route nor its workspace names some.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(Option<SmallVec<[String; 2]>>);

impl Homes {
    /// Returns the regions that a route and a workspace allow, each of which names none if it allows any. Where
    /// both name some, both bind.
    pub fn of(route: &[String], workspace: &[String]) -> Self {
        let (first, second) =
            if route.is_empty() { (workspace, route) } else { (route, workspace) };
        if first.is_empty() {
            return Self(None);
        }
        let both = first.iter().filter(|region| second.is_empty() || second.contains(region));
        Self(Some(both.cloned().collect()))
    }

    /// Returns whether a request may run in a region; `None` for a region that is not known.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.iter().any(|home| home == region))
    }

    /// Returns whether a request may run in any region.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }
}

impl fmt::Display for Homes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => f.write_str("any"),
            Some(regions) if regions.is_empty() => f.write_str("none"),
            Some(regions) => f.write_str(&regions.join(",")),
        }
    }
}
