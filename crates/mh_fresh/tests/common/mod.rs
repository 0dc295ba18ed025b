//! Test fixtures shared by the tests of this crate.

use std::time::Duration;

use mh_fresh::prelude::*;
use mh_fresh::{AttestationSummary, HeldRevisions};
use mh_types::{Incarnation, Revision, VmName};
use tokio::time::Instant;

pub const BOUND: Duration = Duration::from_secs(2);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns an instant far enough after the clock's origin that evidence can predate it.
pub fn start() -> Instant {
    Instant::now() + ms(3_600_000)
}

/// Creates a roster of the VMs `names`, each in the failure domain named by its first letter.
pub fn roster(names: &[&str]) -> Roster {
    Roster::new(Revision(1), names.iter().map(|name| ((*name).into(), name[..1].into())))
}

pub fn started_vm(name: &str, names: &[&str]) -> FreshnessTracker {
    FreshnessTracker::new(name.into(), Incarnation(1), BOUND, roster(names))
}

/// Creates a VM that holds `revision` and attests to it after a read of the head row at `now`.
pub fn attesting_vm(name: &str, names: &[&str], now: Instant, revision: u64) -> FreshnessTracker {
    let mut tracker = started_vm(name, names);
    tracker.on_head_read(now, Revision(revision));
    tracker.on_apply(now, Revision(revision), None);
    tracker
}

/// Creates a report of VM `vm`, which attests now and has held `held` for ten seconds.
pub fn report(vm: &str, held: u64) -> Report {
    Report {
        vm: VmName::from(vm),
        incarnation: Incarnation(1),
        known: Revision(held),
        accepted: Revision::ZERO,
        holding: HeldRevisions {
            held: Revision(held),
            held_ms: 10_000,
            steady: Revision(held),
        },
        vouched_ms: Some(0),
        confirmed_ms: None,
        sums: Vec::<AttestationSummary>::new(),
    }
}
