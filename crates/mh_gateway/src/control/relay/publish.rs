use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_types::{Event, Revision, StoreVersion, VmName, emit};
use tokio::time::Instant;

use super::catch_up::fetch_missing;
use crate::control::feed_states::AcceptOutcome;
use crate::control::reader_report::{Changes, FeedVersions, ReaderReport};
use crate::control::{Datagram, Origin, encode};
use crate::node::GatewayNode;
use crate::request::increment;
use crate::{Batch, Feed, Plan, PlanChange, Update};

/// Largest datagram with a report, in bytes, so that it fits one packet. Changes that do not fit are left out and
/// fetched by the other VMs.
const MAX_REPORT_BYTES: usize = 1200;

impl GatewayNode {
    /// Records the outcome of a call of this VM to the store. The other VMs are notified of a failure at once, so that
    /// another VM takes over reading before they miss this one's reports.
    pub(crate) fn on_read(&self, feed: Feed, succeeded: bool, now: Instant) {
        let counters = self.gateway.counters();
        increment(if succeeded {
            &counters.store_reads
        } else {
            &counters.store_failures
        });
        let was_reader = self.relay.is_reader();
        if self.relay.record_read(feed, succeeded, now) && was_reader {
            self.send_failure_notice();
        }
    }

    fn send_failure_notice(&self) {
        for vm in self.relay.peers() {
            if let Some(addr) = self.peer_addr(&vm) {
                self.send_to(addr, &Datagram::NoNews);
            }
        }
    }

    /// Tells the region that this VM goes on calling a store that does not answer, so that the others need not.
    pub(crate) fn repeat_failure_notice(&self) {
        let relay = &self.relay;
        if relay.is_reader() && relay.is_leading_caller() && relay.is_failing(Feed::Settings) {
            self.send_failure_notice();
        }
    }

    /// Records that another VM cannot read the store.
    pub(crate) fn on_reader_failed(&self, from: &VmName, now: Instant) {
        self.relay.election.lock().on_reader_failed(from, now);
    }

    /// Applies a batch that was read from the store or received from another VM, and reports it to the region. It holds the
    /// changes after the version `after`, or the full state if there is none.
    pub(crate) fn apply_batch(
        &self,
        feed: Feed,
        batch: &Batch,
        after: Option<StoreVersion>,
        origin: &Origin,
        now: Instant,
    ) {
        self.relay.note_era(batch.version.era);
        // Versions and contents change together, so that no VM is served old contents with newer versions. The report names
        // the versions after this batch, and not those after another one that is applied before it is sent.
        let (accepted, plan_before, plan, versions) = {
            let mut control = self.control.lock();
            let accepted = control.feeds.accept(feed, batch, after, origin, now);
            let plan_before = control.deployment.plan().cloned();
            if !matches!(accepted, AcceptOutcome::Unchanged) {
                control.deployment.apply(feed, batch, after.is_none(), now);
            }
            let versions = control.reportable_versions(now);
            (accepted, plan_before, control.deployment.plan().cloned(), versions)
        };
        let revision = |plan: &Option<Arc<Plan>>| plan.as_ref().map_or_else(Revision::default, |plan| plan.revision);
        if revision(&plan) != revision(&plan_before) {
            emit!(
                Event::PlanApplied,
                revision = revision(&plan),
                before = revision(&plan_before),
                version = batch.version,
                from = origin
            );
        }
        let is_new = !matches!(accepted, AcceptOutcome::Unchanged);
        if is_new && feed == Feed::Vms {
            self.apply_stored_quarantines(&batch.updates, batch.clock);
        }
        if is_new {
            self.rebuild(now);
        }
        if is_new || feed == Feed::Settings {
            let changes = match accepted {
                AcceptOutcome::Changes(changes) => Some(changes),
                AcceptOutcome::Unchanged | AcceptOutcome::Snapshot => None,
            };
            let contents = report_contents(changes, plan_before.as_deref());
            if let Some((versions, clock)) = versions {
                self.publish_report(feed, versions, clock, contents, now);
            }
        }
    }

    /// Sends a report to the other VMs of the region after an answer for `feed`, if this VM is a reader.
    ///
    /// Only an answer for the settings shows that the settings are current: a call for them may be without an answer while
    /// others are answered.
    fn publish_report(
        &self,
        feed: Feed,
        mut feeds: [FeedVersions; Feed::ALL.len()],
        clock: Duration,
        (changes, plan_change): (Option<Changes>, Option<PlanChange>),
        now: Instant,
    ) {
        if !self.relay.is_reader() {
            return;
        }
        if feed != Feed::Settings {
            feeds[Feed::Settings as usize] = FeedVersions::UNSTATED;
        }
        let entry_return = self.gateway.bounds().entry_return;
        let registry_down = self
            .relay
            .registry_down_at
            .lock()
            .map(|at| now.saturating_duration_since(at));
        let mut report = ReaderReport {
            clock,
            feeds,
            register_down: registry_down.filter(|age| *age < entry_return),
            changes,
            plan_change,
        };
        let vm = self.gateway.vm();
        let mut bytes = encode(vm, &Datagram::News(Box::new(report.clone())));
        if bytes.as_ref().is_ok_and(|bytes| bytes.len() > MAX_REPORT_BYTES) {
            (report.changes, report.plan_change) = (None, None);
            bytes = encode(vm, &Datagram::News(Box::new(report)));
        }
        // Versions and times always encode.
        let Ok(bytes) = bytes else { return };
        for addr in self.listed_addrs(&self.relay.peers()) {
            self.send_bytes(addr, &bytes);
        }
    }

    /// Handles the report of a reader of the store.
    pub(crate) fn on_reader_report(self: &Arc<Self>, from: &VmName, mut report: ReaderReport, now: Instant) {
        self.relay.note_era(report.era());
        // A reader that has not noticed a restore of the store confirms nothing.
        if self.relay.is_era_over(report.era()) {
            return;
        }
        if let Some(age) = report.register_down {
            let at = now.checked_sub(age).unwrap_or(now);
            self.control
                .lock()
                .deployment
                .on_feed_recovered(Feed::Servers, at, true);
        }
        if let Some(changes) = report.changes.take() {
            self.apply_reported_changes(from, changes, report.plan_change.take(), &report, now);
        }
        let behind = self.control.lock().feeds.compare(&report, from, now);
        if behind.is_empty() {
            self.on_report_confirmed(from, &report, now);
        } else if !behind.iter().any(|feed| self.relay.versions(*feed).is_none())
            && !self.relay.is_fetching.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(fetch_missing(Arc::clone(self), from.clone(), behind, report));
        }
    }

    /// Applies reported changes that directly follow the versions held; other changes are fetched.
    fn apply_reported_changes(
        &self,
        from: &VmName,
        mut changes: Changes,
        plan_change: Option<PlanChange>,
        report: &ReaderReport,
        now: Instant,
    ) {
        let versions = report.feeds[changes.feed as usize];
        let held = self.relay.versions(changes.feed);
        let follows =
            |held: StoreVersion| held.era == versions.changed.era && held >= changes.after && held < versions.changed;
        if !held.is_some_and(|held| follows(held.held)) {
            return;
        }
        if let Some(change) = plan_change {
            let plan = self.control.lock().deployment.plan().cloned();
            let Some(next) = plan.and_then(|plan| change.apply(&plan)) else {
                return;
            };
            changes.updates.push(Update::Plan(Arc::new(next)));
        }
        let batch = Batch {
            version: versions.changed,
            last_changed_version: versions.changed,
            clock: report.clock,
            updates: changes.updates,
        };
        self.apply_batch(
            changes.feed,
            &batch,
            Some(changes.after),
            &Origin::Vm(from.clone()),
            now,
        );
    }

    /// Records that this VM holds what `from` reported.
    pub(super) fn on_report_confirmed(&self, from: &VmName, report: &ReaderReport, now: Instant) {
        if report.feeds[Feed::Settings as usize] != FeedVersions::UNSTATED {
            self.relay.election.lock().on_report(from, now);
        }
    }
}

/// Returns the contents of a report for `changes`: a plan is replaced by its difference to the plan before.
fn report_contents(changes: Option<Changes>, plan_before: Option<&Plan>) -> (Option<Changes>, Option<PlanChange>) {
    let Some(mut changes) = changes else {
        return (None, None);
    };
    let plan = changes.updates.iter().rev().find_map(|update| match update {
        Update::Plan(plan) => Some(Arc::clone(plan)),
        _ => None,
    });
    let Some(plan) = plan else {
        return (Some(changes), None);
    };
    let change = plan_before.and_then(|before| PlanChange::between(before, &plan));
    if change.is_some() {
        changes.updates.retain(|update| !matches!(update, Update::Plan(_)));
    }
    (Some(changes), change)
}
