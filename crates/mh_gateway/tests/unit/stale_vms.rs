//! Removal of entries from the VM list.

use std::time::Duration;

use mh_types::VmName;
use tokio::time::Instant;

use super::StaleVms;

const SECOND: Duration = Duration::from_secs(1);

fn vms(names: &[&str]) -> Vec<VmName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against the entry of a permanently lost VM that leaves its part of every limit unused, and against removing
/// the entry twice.
#[test]
fn one_vm_removes_a_stale_entry_once() {
    let now = Instant::now();
    let alive = vms(&["a", "b", "c"]);
    let (mut first, mut second) = (StaleVms::default(), StaleVms::default());

    for stale_vms in [&mut first, &mut second] {
        assert!(stale_vms.due(&"a".into(), &alive, vms(&["d"]), now).is_empty());
    }

    let later = now + SECOND * 20;
    assert_eq!(first.due(&"a".into(), &alive, vms(&["d"]), later), vms(&["d"]));
    assert!(first.due(&"a".into(), &alive, vms(&["d"]), later + SECOND).is_empty());
    assert!(second.due(&"b".into(), &alive, vms(&["d"]), later).is_empty());
}

/// Guards against removing a VM whose two short outages add up to the removal delay.
#[test]
fn a_recovered_vm_restarts_the_removal_delay() {
    let now = Instant::now();
    let alive = vms(&["a", "b", "c"]);
    let mut stale_vms = StaleVms::default();
    stale_vms.due(&"a".into(), &alive, vms(&["d"]), now);
    stale_vms.due(&"a".into(), &alive, Vec::new(), now + SECOND * 10);

    assert!(
        stale_vms
            .due(&"a".into(), &alive, vms(&["d"]), now + SECOND * 25)
            .is_empty()
    );
}

/// Guards against a partitioned VM that removes all others.
#[test]
fn a_partitioned_vm_removes_no_entries() {
    let now = Instant::now();
    let mut stale_vms = StaleVms::default();
    stale_vms.due(&"a".into(), &vms(&["a"]), vms(&["b", "c"]), now);

    assert!(
        stale_vms
            .due(&"a".into(), &vms(&["a"]), vms(&["b", "c"]), now + SECOND * 60)
            .is_empty()
    );
}
