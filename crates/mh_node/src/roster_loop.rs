use std::sync::Arc;
use std::time::Duration;

use mh_admin::SetRequest;
use mh_config::{Doc, Roster, RosterMember};
use mh_platform::ListedVm;
use mh_types::{Revision, VmName};
use tokio::time::Instant;

use crate::Node;
use crate::absence::Absence;
use crate::currency::{ROSTER_PATH, roster_entry};
use crate::node::lock;

/// Time between two looks at whether the roster fits the list of VMs.
const TICK: Duration = Duration::from_millis(500);
/// Extra wait of each VM that is not the first of the list, so that one VM writes when all see the same.
const STAND_BACK: Duration = Duration::from_millis(300);
/// Keeps the roster equal to the platform's list of VMs, one member at a time.
pub(crate) async fn run(node: Arc<Node>) {
    let mut gone = Absence::default();
    loop {
        tokio::time::sleep(TICK + STAND_BACK.mul_f64(f64::from(node.rank().min(10)) * rand::random::<f64>())).await;
        let Some((doc, revision)) = node.next_roster(&mut gone) else {
            continue;
        };
        let req = SetRequest {
            path: ROSTER_PATH.to_owned(),
            doc: Some(Doc::Roster(doc).to_json()),
            if_revision: Some(revision),
            by: node.cfg.vm.to_string(),
        };
        // Another VM may have been first; the next look sees its roster.
        let _ = node.commit(req).await;
    }
}

impl Node {
    /// Place of this VM in the list.
    pub(crate) fn rank(&self) -> u32 {
        let peers = lock(&self.peers);
        peers.listing.vms.iter().filter(|vm| vm.name < self.cfg.vm).count() as u32
    }

    /// The next roster and the revision of the one it replaces; `None` while nothing has to change.
    fn next_roster(&self, gone: &mut Absence) -> Option<(Roster, Revision)> {
        let listed: Vec<ListedVm> = lock(&self.peers).listing.vms.clone();
        if !lock(&self.currency).fresh.status(Instant::now()).is_current() || listed.is_empty() {
            return None;
        }
        let (found, revision) = {
            let control = lock(&self.control);
            let entry = roster_entry(control.settings());
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
        let Some(found) = found else {
            return Some((
                Roster {
                    members: listed.iter().map(member).collect(),
                    previous: Vec::new(),
                },
                revision,
            ));
        };
        // Two steps at once could leave two majorities without a common member.
        if !self.is_roster_settled(revision) {
            return None;
        }
        let now = Instant::now();
        gone.note(listed.iter().map(|vm| &vm.name), self.list_lag(), now);
        let new = listed
            .iter()
            .find(|vm| !found.members.iter().any(|m| m.vm == vm.name.as_str()));
        let lost = found
            .members
            .iter()
            .find(|m| gone.is_gone(&VmName::from(m.vm.as_str()), now));
        let previous = found.members.clone();
        let members = match (new, lost) {
            (Some(new), _) => previous.iter().cloned().chain([member(new)]).collect(),
            (None, Some(lost)) => previous.iter().filter(|m| *m != lost).cloned().collect(),
            (None, None) => return None,
        };
        Some((Roster { members, previous }, revision))
    }

    fn is_roster_settled(&self, revision: Revision) -> bool {
        let state = lock(&self.currency);
        state.fresh.roster().revision() >= revision && state.fresh.roster().previous().is_none()
    }
}
