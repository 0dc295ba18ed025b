//! Which VMs read the store while VMs, links and calls to the store fail.

mod region;

use std::time::Duration;

use proptest::prelude::*;
use region::Region;

/// Time in which a change must be in force in the fixtures.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Guards against a fleet in which every VM reads the store, which costs reads in proportion to VMs and changes.
#[test]
fn two_vms_of_a_region_read_in_quiet_times() {
    let mut region = Region::new(28, IN_FORCE);

    region.run(Duration::from_secs(6));
    let oldest = region.run(Duration::from_secs(4));

    assert_eq!(region.readers().len(), 2, "{:?}", region.readers());
    assert!(oldest <= IN_FORCE / 2);
}

/// Guards against VMs that hold old settings because the readers of their region lost the store at the same moment.
#[test]
fn others_take_over_when_both_readers_lose_the_store() {
    let mut region = Region::new(28, IN_FORCE);
    region.run(Duration::from_secs(6));

    for vm in region.readers() {
        region.set_store(vm, false);
    }
    let oldest = region.run(Duration::from_secs(4));

    // Refused readers say so, so the others need not wait until they miss their news.
    assert!(oldest <= IN_FORCE.mul_f64(0.6), "{oldest:?}");
    assert!(region.readers().len() <= 4, "{:?}", region.readers());
}

/// Guards against a VM that relies on readers it can no longer hear.
#[test]
fn a_vm_that_hears_nobody_reads_for_itself() {
    let mut region = Region::new(12, IN_FORCE);
    region.run(Duration::from_secs(6));
    let follower = (0..12).find(|vm| !region.readers().contains(vm)).expect("a follower");

    region.set_peers(follower, false);
    let oldest = region.run(Duration::from_secs(4));

    assert!(oldest <= IN_FORCE, "{oldest:?}");
    assert!(region.readers().contains(&follower));
}

/// Guards against every VM calling a store that refuses a part of them, while others are served.
#[test]
fn a_vm_that_the_store_refuses_relies_on_the_others() {
    let mut region = Region::new(28, IN_FORCE);
    region.run(Duration::from_secs(6));
    let refused: Vec<usize> = (0..28).filter(|vm| vm % 3 == 0).collect();
    for vm in &refused {
        region.set_store(*vm, false);
    }

    region.run(Duration::from_secs(3));
    let before = region.calls();
    region.run(Duration::from_secs(10));

    // Two readers call 1.8 times a second each; a refused first choice tries every 2 s, and may be one of the two.
    let calls = region.calls() - before;
    assert!(calls <= 60, "{calls} calls in 10 s");
}

/// Guards against two VMs of one failure domain reading, whose loss leaves the region without a reader.
#[test]
fn the_readers_are_in_different_failure_domains() {
    let mut region = Region::new(10, IN_FORCE);

    region.run(Duration::from_secs(6));

    let domains: Vec<usize> = region.readers().iter().map(|vm| Region::domain_of(*vm)).collect();
    assert_ne!(domains[0], domains[1]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against any order of faults that leaves a VM with old news although it reaches the store.
    #[test]
    fn a_vm_that_can_know_knows(steps in prop::collection::vec((0_usize..9, 0_u8..4, 0_u64..30), 1..24)) {
        let mut region = Region::new(9, IN_FORCE);
        region.run(Duration::from_secs(4));

        for (vm, fault, pause) in steps {
            match fault {
                0 => region.set_store(vm, false),
                1 => region.set_store(vm, true),
                2 => region.set_peers(vm, false),
                _ => region.set_peers(vm, true),
            }
            let oldest = region.run(Duration::from_millis(pause * 100));
            prop_assert!(oldest <= IN_FORCE, "{oldest:?}");
        }
    }
}
