use std::time::Duration;

use mh_config::{Doc, DocPath, Entry, RosterMember, Settings};
use mh_fresh::{FetchConfig, FetchPlanner, FreshnessStatus, FreshnessTracker, Roster};
use mh_types::{DomainName, Incarnation, Revision, VmName};
use tokio::time::Instant;

use crate::{Node, VmSettings};

/// Settings path of the roster.
pub(crate) const ROSTER_PATH: &str = "/system/roster";

/// Freshness of this VM's settings, and the plan of requests that confirm them.
#[derive(Debug)]
pub(crate) struct FreshnessState {
    pub(crate) tracker: FreshnessTracker,
    pub(crate) planner: FetchPlanner,
}

impl FreshnessState {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation) -> Self {
        let bound = Duration::from_millis(cfg.freshness_bound_ms.value);
        let roster = Roster::new(Revision::ZERO, []);
        Self {
            tracker: FreshnessTracker::new(cfg.vm.clone(), incarnation, bound, roster),
            planner: FetchPlanner::new(FetchConfig::for_bound(bound)),
        }
    }
}

/// What the freshness of this VM depends on in the settings that requests read.
#[derive(Debug)]
pub(crate) struct AppliedSettings {
    pub(crate) revision: Revision,
    roster: Option<Roster>,
}

impl AppliedSettings {
    pub(crate) fn of(settings: &Settings) -> Self {
        Self {
            revision: settings.revision(),
            roster: roster_entry(settings).map(roster_from_entry),
        }
    }
}

impl Node {
    /// Changes the freshness state and publishes to the request path the time until which this VM's settings are
    /// current.
    pub(crate) fn with_freshness<T>(&self, change: impl FnOnce(&mut FreshnessState) -> T) -> T {
        let mut state = self.freshness.lock();
        let out = change(&mut state);
        self.edge
            .freshness_gate()
            .publish(state.tracker.current_until(Instant::now()));
        out
    }

    /// Records the revision and roster that this VM now holds.
    pub(crate) fn record_applied_settings(&self, applied: AppliedSettings) {
        let AppliedSettings { revision, roster } = applied;
        self.with_freshness(|state| state.tracker.on_apply(Instant::now(), revision, roster));
    }

    /// Describes the freshness for the status report and the state dump.
    pub(crate) fn freshness_text(&self) -> String {
        match self.freshness.lock().tracker.status(Instant::now()) {
            FreshnessStatus::Current { age } => format!("current, confirmed {} ms ago", age.as_millis()),
            FreshnessStatus::Behind { known, held } => format!("behind: holds {held}, knows of {known}"),
            FreshnessStatus::Unconfirmed { age } if age == Duration::MAX => "never confirmed".to_owned(),
            FreshnessStatus::Unconfirmed { age } => format!("confirmed {} ms ago", age.as_millis()),
        }
    }
}

pub(crate) fn roster_entry(settings: &Settings) -> Option<&Entry> {
    DocPath::parse(ROSTER_PATH).ok().and_then(|path| settings.get(&path))
}

/// Converts the roster document; the result includes the previous roster if the two differ by one member.
fn roster_from_entry(entry: &Entry) -> Roster {
    let Doc::Roster(doc) = &*entry.doc else {
        return Roster::new(entry.revision, []);
    };
    let pairs = |members: &[RosterMember]| -> Vec<(VmName, DomainName)> {
        members
            .iter()
            .map(|m| (m.vm.as_str().into(), m.domain.as_str().into()))
            .collect()
    };
    let (members, previous) = (pairs(&doc.members), pairs(&doc.previous));
    let previous_roster = Roster::new(Revision::ZERO, previous.clone());
    let added = members.iter().find(|member| !previous.contains(member));
    let removed = previous.iter().find(|member| !members.contains(member));
    let changed = match (added, removed) {
        (Some((vm, domain)), None) if !previous.is_empty() => {
            previous_roster.add(entry.revision, vm.clone(), domain.clone()).ok()
        }
        (None, Some((vm, _))) => previous_roster.remove(entry.revision, vm).ok(),
        _ => None,
    };
    changed.unwrap_or_else(|| Roster::new(entry.revision, members))
}
