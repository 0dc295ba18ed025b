use std::time::Duration;

use mh_config::{Doc, DocPath, Entry, RosterMember, Settings};
use mh_fresh::{FetchConfig, FetchPlanner, FreshnessStatus, FreshnessTracker, Roster};
use mh_types::{DomainName, Incarnation, Revision, VmName};
use tokio::time::Instant;

use crate::node::lock;
use crate::{Node, VmSettings};

/// Settings path of the roster.
pub(crate) const ROSTER_PATH: &str = "/system/roster";

/// Whether this VM is current, and whom it asks to stay so.
#[derive(Debug)]
pub(crate) struct CurrencyState {
    pub(crate) fresh: FreshnessTracker,
    pub(crate) fetch: FetchPlanner,
}

impl CurrencyState {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation) -> Self {
        let bound = Duration::from_millis(cfg.freshness_bound_ms.value);
        let roster = Roster::new(Revision::ZERO, []);
        Self {
            fresh: FreshnessTracker::new(cfg.vm.clone(), incarnation, bound, roster),
            fetch: FetchPlanner::new(FetchConfig::for_bound(bound)),
        }
    }
}

impl Node {
    /// Changes the currency state and tells the request path until when this VM is current.
    pub(crate) fn with_currency<T>(&self, change: impl FnOnce(&mut CurrencyState) -> T) -> T {
        let mut state = lock(&self.currency);
        let out = change(&mut state);
        self.edge.gate().publish(state.fresh.current_until(Instant::now()));
        out
    }

    /// Notes which revision and roster this VM holds now; called while the settings are locked.
    pub(crate) fn note_applied(&self, settings: &Settings) {
        let revision = settings.revision();
        let roster = roster_entry(settings).map(roster_of);
        self.with_currency(|state| state.fresh.on_apply(Instant::now(), revision, roster));
    }

    /// Currency in words, for status and dump.
    pub(crate) fn currency_text(&self) -> String {
        match lock(&self.currency).fresh.status(Instant::now()) {
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

/// The roster that a settings document describes, with the one before it while they differ by one member.
fn roster_of(entry: &Entry) -> Roster {
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
    let before = Roster::new(Revision::ZERO, previous.clone());
    let added = members.iter().find(|member| !previous.contains(member));
    let removed = previous.iter().find(|member| !members.contains(member));
    let stepped = match (added, removed) {
        (Some((vm, domain)), None) if !previous.is_empty() => {
            before.add(entry.revision, vm.clone(), domain.clone()).ok()
        }
        (None, Some((vm, _))) => before.remove(entry.revision, vm).ok(),
        _ => None,
    };
    stepped.unwrap_or_else(|| Roster::new(entry.revision, members))
}
