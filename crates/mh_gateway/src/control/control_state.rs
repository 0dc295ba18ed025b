use std::net::SocketAddr;
use std::time::Duration;

use mh_budget::Owner;
use mh_member::{Membership, VmList};
use mh_types::VmName;
use tokio::time::Instant;

use super::feed_states::FeedStates;
use super::reader_report::FeedVersions;
use super::{DeploymentState, QuotaController, StaleVms};
use crate::node::UnlistedVm;
use crate::{Feed, LiveState};

/// State that the control loops and the handlers of other VMs' messages share, behind one lock.
///
/// A batch changes the versions of its feed and the deployment together, and the state for requests is built from the
/// deployment, the quotas and the membership at one moment. The lock is never held across an `await`, and no other lock
/// is taken while it is.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) deployment: DeploymentState,
    /// Up to which versions `deployment` holds the feeds.
    pub(crate) feeds: FeedStates,
    pub(crate) membership: Membership,
    /// The list of VMs that `membership` follows.
    pub(crate) membership_list: VmList,
    pub(crate) quotas: QuotaController,
    pub(crate) stale_vms: StaleVms,
    /// VMs that are up and missing in this VM's list.
    pub(crate) unlisted_vms: Vec<UnlistedVm>,
    /// When the state for requests changes without an update.
    pub(crate) next_timed_change: Option<Instant>,
}

impl ControlState {
    pub(crate) fn new(deployment: DeploymentState, membership: Membership, quotas: QuotaController) -> Self {
        Self {
            deployment,
            feeds: FeedStates::default(),
            membership,
            membership_list: VmList::default(),
            quotas,
            stale_vms: StaleVms::default(),
            unlisted_vms: Vec::new(),
            next_timed_change: None,
        }
    }

    /// Stores the list of VMs for the membership protocol and returns whether it differs from the previous one.
    pub(crate) fn replace_list(&mut self, list: &VmList) -> bool {
        let changed = self.membership_list != *list;
        if changed {
            self.membership_list.clone_from(list);
        }
        changed
    }

    /// Returns the peer address of a VM that is listed or known to be up.
    pub(crate) fn peer_addr(&self, vm: &VmName) -> Option<SocketAddr> {
        let listed = self.deployment.vm(vm).map(|listed| listed.peers);
        listed.or_else(|| {
            let mut unlisted = self.unlisted_vms.iter();
            unlisted.find(|known| known.vm == *vm).map(|known| known.addr)
        })
    }

    /// Builds the state that requests are served from; see [`DeploymentState::build_live_state`].
    pub(crate) fn build_live_state(&mut self, previous: &LiveState, vms: u32, now: Instant) -> LiveState {
        let deployment = &mut self.deployment;
        deployment.expire(now);
        let mut live = deployment.build_live_state(previous, vms, now);
        if let (Some(plan), Some(read_at)) = (deployment.plan(), deployment.vms_read_at()) {
            let mut owners: Vec<Owner> = deployment.vms().map(Owner::from).collect();
            let missing = self.unlisted_vms.iter().filter(|vm| deployment.vm(&vm.vm).is_none());
            owners.extend(missing.map(Owner::from));
            self.quotas.sync(plan, &owners, read_at, now);
            live.quotas = self.quotas.limiters();
        }
        self.next_timed_change = deployment.next_change(now);
        live
    }

    /// Returns the versions of all feeds with the store's clock, if this VM may report them to others.
    pub(crate) fn reportable_versions(&self, now: Instant) -> Option<([FeedVersions; Feed::ALL.len()], Duration)> {
        Some((self.feeds.reportable_versions()?, self.deployment.store_clock(now)?))
    }

    /// Returns the milliseconds since the state of `feed` was confirmed as the newest; `None` before the first read.
    pub(crate) fn age_ms(&self, feed: Feed, now: Instant) -> Option<u64> {
        let at = self.feeds.confirmed_at(feed)?;
        Some(now.saturating_duration_since(at).as_millis() as u64)
    }
}
