//! Which entries of the list of VMs are removed.

use std::time::Duration;

use mh_types::VmName;
use tokio::time::Instant;

use super::StaleVms;

const SECOND: Duration = Duration::from_secs(1);

fn vms(names: &[&str]) -> Vec<VmName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against the entry of a VM that is gone for good idling its part of every limit, and against removing it twice.
#[test]
fn one_vm_removes_an_entry_that_was_dead_for_long() {
    let now = Instant::now();
    let alive = vms(&["a", "b", "c"]);
    let (mut first, mut second) = (StaleVms::default(), StaleVms::default());

    for keeping in [&mut first, &mut second] {
        assert!(keeping.due(&"a".into(), &alive, vms(&["d"]), now).is_empty());
    }

    let later = now + SECOND * 20;
    assert_eq!(first.due(&"a".into(), &alive, vms(&["d"]), later), vms(&["d"]));
    assert!(first.due(&"a".into(), &alive, vms(&["d"]), later + SECOND).is_empty());
    assert!(second.due(&"b".into(), &alive, vms(&["d"]), later).is_empty());
}

/// Guards against removing a VM that was dead for two short times.
#[test]
fn a_vm_that_returns_counts_anew() {
    let now = Instant::now();
    let alive = vms(&["a", "b", "c"]);
    let mut keeping = StaleVms::default();
    keeping.due(&"a".into(), &alive, vms(&["d"]), now);
    keeping.due(&"a".into(), &alive, Vec::new(), now + SECOND * 10);

    assert!(
        keeping
            .due(&"a".into(), &alive, vms(&["d"]), now + SECOND * 25)
            .is_empty()
    );
}

/// Guards against a VM that is cut off removing all others.
#[test]
fn a_vm_that_is_cut_off_removes_nobody() {
    let now = Instant::now();
    let mut keeping = StaleVms::default();
    keeping.due(&"a".into(), &vms(&["a"]), vms(&["b", "c"]), now);

    assert!(
        keeping
            .due(&"a".into(), &vms(&["a"]), vms(&["b", "c"]), now + SECOND * 60)
            .is_empty()
    );
}
