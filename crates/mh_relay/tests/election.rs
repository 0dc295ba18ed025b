//! Election of readers while VMs, network links and store calls fail.

mod region;

use std::time::Duration;

use mh_relay::{Election, RelayTimings};
use mh_types::VmName;
use proptest::prelude::*;
use region::SimulatedRegion;
use tokio::time::Instant;

/// Time in which a change must be in force on every VM.
const DEADLINE: Duration = Duration::from_secs(2);

/// Interval between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Guards against every VM reading the store, which makes the number of reads grow with VMs times changes.
#[test]
fn two_vms_read_in_steady_state() {
    let mut region = SimulatedRegion::new(28, DEADLINE);

    region.run(Duration::from_secs(6));
    let max_age = region.run(Duration::from_secs(4));

    assert_eq!(region.readers().len(), 2, "{:?}", region.readers());
    assert!(max_age <= DEADLINE / 2);
}

/// Guards against VMs that keep old settings because both readers of their region lost the store at the same time.
#[test]
fn others_take_over_when_both_readers_lose_the_store() {
    let mut region = SimulatedRegion::new(28, DEADLINE);
    region.run(Duration::from_secs(6));

    for vm in region.readers() {
        region.set_store_reachable(vm, false);
    }
    let max_age = region.run(Duration::from_secs(4));

    // Readers that cannot read report it, so the other VMs need not wait for the report lifetime to expire.
    assert!(max_age <= DEADLINE.mul_f64(0.6), "{max_age:?}");
    assert!(region.readers().len() <= 4, "{:?}", region.readers());
}

/// Guards against a VM that relies on readers whose reports it no longer receives.
#[test]
fn isolated_vm_reads_for_itself() {
    let mut region = SimulatedRegion::new(12, DEADLINE);
    region.run(Duration::from_secs(6));
    let follower = (0..12).find(|vm| !region.readers().contains(vm)).expect("a follower");

    region.set_peers_reachable(follower, false);
    let max_age = region.run(Duration::from_secs(4));

    assert!(max_age <= DEADLINE, "{max_age:?}");
    assert!(region.readers().contains(&follower));
}

/// Guards against VMs that all call the store while it refuses some of them and serves others.
#[test]
fn refused_vms_rely_on_other_readers() {
    let mut region = SimulatedRegion::new(28, DEADLINE);
    region.run(Duration::from_secs(6));
    let refused: Vec<usize> = (0..28).filter(|vm| vm % 3 == 0).collect();
    for vm in &refused {
        region.set_store_reachable(*vm, false);
    }

    region.run(Duration::from_secs(3));
    let before = region.store_calls();
    region.run(Duration::from_secs(10));

    // Two readers call 1.8 times per second each; a refused preferred reader retries every 2 s and may be one of the
    // two.
    let calls = region.store_calls() - before;
    assert!(calls <= 60, "{calls} calls in 10 s");
}

/// Guards against a region in which nobody calls a store that was away often enough, because the VMs that should are gone.
#[test]
fn next_vms_call_often_when_leading_callers_fall_silent() {
    let now = Instant::now();
    let timings = RelayTimings::for_deadline(DEADLINE);
    let names: Vec<VmName> = (0..30).map(|n| format!("vm-{n}").as_str().into()).collect();
    let is_first = |vm: &&VmName| {
        let mut election = Election::new((*vm).clone(), timings, now);
        election.set_vms(names.iter().map(|vm| (vm.clone(), "a".into())), now);
        election.is_preferred_reader()
    };
    let leading: Vec<&VmName> = names.iter().filter(is_first).collect();
    for vm in names.iter().filter(|vm| !leading.contains(vm)) {
        let mut election = Election::new(vm.clone(), timings, now);
        election.set_vms(names.iter().map(|vm| (vm.clone(), "a".into())), now);
        let mut tick = |at: Duration, heard: &[&VmName]| {
            for from in heard {
                election.on_reader_failed(from, now + at);
            }
            election.on_tick(now + at);
            election.is_leading_caller()
        };

        let while_both_call = (0..20).filter(|n| tick(TICK * *n, &leading)).count();
        let ticks = (20..100).take_while(|n| !tick(TICK * *n, &leading[..1])).count();

        assert_eq!(while_both_call, 0, "{vm}");
        assert!(TICK * ticks as u32 <= DEADLINE, "{vm} calls often after {ticks} ticks");
    }
}

/// Guards against both readers being in one failure domain, whose loss would leave the region without a reader.
#[test]
fn readers_are_in_different_failure_domains() {
    let mut region = SimulatedRegion::new(10, DEADLINE);

    region.run(Duration::from_secs(6));

    let domains: Vec<usize> = region
        .readers()
        .iter()
        .map(|vm| SimulatedRegion::domain_of(*vm))
        .collect();
    assert_ne!(domains[0], domains[1]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against a sequence of faults that leaves a VM with outdated state although it can reach the store.
    #[test]
    fn vm_that_reaches_the_store_stays_current(steps in prop::collection::vec((0_usize..9, 0_u8..4, 0_u64..30), 1..24)) {
        let mut region = SimulatedRegion::new(9, DEADLINE);
        region.run(Duration::from_secs(4));

        for (vm, fault, pause) in steps {
            match fault {
                0 => region.set_store_reachable(vm, false),
                1 => region.set_store_reachable(vm, true),
                2 => region.set_peers_reachable(vm, false),
                _ => region.set_peers_reachable(vm, true),
            }
            let max_age = region.run(Duration::from_millis(pause * 100));
            prop_assert!(max_age <= DEADLINE, "{max_age:?}");
        }
    }
}
