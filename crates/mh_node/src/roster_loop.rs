use std::sync::Arc;
use std::time::Duration;

use mh_admin::SetRequest;
use mh_config::{Doc, Roster, RosterMember};
use mh_platform::ListedVm;
use mh_types::{Revision, VmName};
use tokio::time::Instant;

use crate::Node;
use crate::absence_tracker::AbsenceTracker;
use crate::freshness::{ROSTER_PATH, roster_entry};

/// Minimum time between two comparisons of the roster with the list of VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay per rank in the list of VMs, so that usually a single VM writes when all see the same change.
const MAX_JITTER_PER_RANK: Duration = Duration::from_millis(300);

/// Updates the roster to the platform's list of VMs, one member at a time.
pub(crate) async fn run(node: Arc<Node>) {
    let mut absence = AbsenceTracker::default();
    loop {
        tokio::time::sleep(
            CHECK_INTERVAL + MAX_JITTER_PER_RANK.mul_f64(f64::from(node.rank().min(10)) * rand::random::<f64>()),
        )
        .await;
        let Some((doc, revision)) = node.next_roster(&mut absence) else {
            continue;
        };
        let req = SetRequest {
            path: ROSTER_PATH.to_owned(),
            doc: Some(Doc::Roster(doc).to_json()),
            if_revision: Some(revision),
            by: node.cfg.vm.to_string(),
        };
        // Another VM may have committed first; the next comparison uses its roster.
        let _ = node.commit(req).await;
    }
}

impl Node {
    /// Returns the number of listed VMs whose names sort before this VM's name.
    pub(crate) fn rank(&self) -> u32 {
        let peers = self.peers.lock();
        peers.listing.vms.iter().filter(|vm| vm.name < self.cfg.vm).count() as u32
    }

    /// Returns the next roster and the revision of the one that it replaces; `None` if no change is due.
    fn next_roster(&self, absence: &mut AbsenceTracker) -> Option<(Roster, Revision)> {
        let listed: Vec<ListedVm> = self.peers.lock().listing.vms.clone();
        if !self.freshness.lock().tracker.status(Instant::now()).is_current() || listed.is_empty() {
            return None;
        }
        let (current, revision) = {
            let local_settings = self.local_settings.lock();
            let entry = roster_entry(local_settings.settings());
            let doc = entry.and_then(|entry| {
                if let Doc::Roster(doc) = &*entry.doc {
                    Some(doc.clone())
                } else {
                    None
                }
            });
            (doc, entry.map_or(Revision::ZERO, |entry| entry.revision))
        };
        let member = |vm: &ListedVm| RosterMember {
            vm: vm.name.to_string(),
            domain: vm.domain.to_string(),
        };
        let Some(current) = current else {
            return Some((
                Roster {
                    members: listed.iter().map(member).collect(),
                    previous: Vec::new(),
                },
                revision,
            ));
        };
        // Two changes at once could allow two majorities without a common member.
        if !self.is_roster_change_complete(revision) {
            return None;
        }
        let now = Instant::now();
        absence.record_listed(listed.iter().map(|vm| &vm.name), self.list_lag(), now);
        let added = listed
            .iter()
            .find(|vm| !current.members.iter().any(|m| m.vm == vm.name.as_str()));
        let removed = current
            .members
            .iter()
            .find(|m| absence.is_removed(&VmName::from(m.vm.as_str()), now));
        let previous = current.members.clone();
        let members = match (added, removed) {
            (Some(added), _) => previous.iter().cloned().chain([member(added)]).collect(),
            (None, Some(removed)) => previous.iter().filter(|m| *m != removed).cloned().collect(),
            (None, None) => return None,
        };
        Some((Roster { members, previous }, revision))
    }

    fn is_roster_change_complete(&self, revision: Revision) -> bool {
        let state = self.freshness.lock();
        state.tracker.roster().revision() >= revision && state.tracker.roster().previous().is_none()
    }
}
