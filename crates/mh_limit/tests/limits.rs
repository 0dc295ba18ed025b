//! A server's limit over all VMs together, while VMs and messages fail.

mod fleet;

use std::time::Duration;

use fleet::{Fault, Fleet};
use proptest::prelude::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Requests per second for the server when it is not limited.
const DEMAND: f64 = 30.0;

/// Guards against VMs that each keep to a limit by themselves, so that the sum grows with the fleet, and against
/// equal parts that admit nothing when a part is less than one request.
#[test]
fn sum_over_all_vms_keeps_to_the_limit_and_uses_it() {
    for vms in [1, 3, 10, 70, 300] {
        for limit in [0.5, 5.0, 20.0] {
            let mut fleet = Fleet::start(vms, DEMAND, 0.0, 7);
            fleet.state(s(6.0), Some(limit));

            fleet.run(s(40.0));

            let excess = fleet.max_excess(|_| true);
            assert!(excess <= 0.0, "{vms} VMs, limit {limit}: {excess}");
            let used = fleet.arrivals.iter().filter(|arrival| arrival.at > s(13.0)).count() as f64;
            assert!(used >= 0.8 * limit * 27.0, "{vms} VMs, limit {limit}: {used}");
        }
    }
}

/// Guards against VMs that go on sending because they have not heard of the limit.
#[test]
fn limit_reaches_every_vm() {
    let mut fleet = Fleet::start(300, DEMAND, 0.05, 11);
    fleet.state(s(2.0), Some(5.0));

    fleet.run(s(6.0));

    assert_eq!(fleet.informed(), fleet.len());
}

/// Guards against a limit that outlasts the server's need.
#[test]
fn limit_that_is_taken_back_ends_everywhere() {
    let mut fleet = Fleet::start(70, DEMAND, 0.02, 13);
    fleet.state(s(2.0), Some(5.0));
    fleet.state(s(12.0), None);

    fleet.run(s(25.0));

    assert_eq!(fleet.informed(), 0);
    let after = fleet.arrivals.iter().filter(|arrival| arrival.at > s(20.0)).count() as f64;
    assert!(after >= 0.8 * DEMAND * 5.0, "{after}");
}

/// Guards against a changed limit that only some VMs keep to.
#[test]
fn changed_limit_binds_all_vms() {
    let mut fleet = Fleet::start(70, DEMAND, 0.02, 17);
    fleet.state(s(2.0), Some(16.0));
    fleet.state(s(14.0), Some(2.0));
    fleet.state(s(26.0), Some(10.0));

    fleet.run(s(40.0));

    let excess = fleet.max_excess(|_| true);
    assert!(excess <= 0.0, "{excess}");
    let raised = fleet.arrivals.iter().filter(|arrival| arrival.at > s(32.0)).count() as f64;
    assert!(raised >= 0.8 * 10.0 * 8.0, "{raised}");
}

/// Guards against VMs that go on admitting requests for themselves while they leave, beside their successors.
#[test]
fn leaving_vms_admit_nothing_beside_their_successors() {
    let mut fleet = Fleet::start(4, 60.0, 0.0, 2008);
    fleet.state(s(2.0), Some(7.0));
    for (at, vm) in [(10.0, 1), (11.0, 3), (12.0, 0)] {
        fleet.fault(s(at), vm, Fault::Leave);
        fleet.fault(s(at + 6.0), vm, Fault::Kill);
    }

    fleet.run(s(18.0));

    let excess = fleet.max_excess(|_| true);
    assert!(excess <= 0.0, "{excess}");
}

/// Guards against the parts of a split fleet that add up to more than the limit once every VM has noticed the split.
#[test]
fn halves_of_a_split_fleet_share_the_limit() {
    let mut fleet = Fleet::start(12, DEMAND, 0.0, 19);
    fleet.state(s(2.0), Some(8.0));
    for vm in 0..6 {
        fleet.fault(s(10.0), vm, Fault::Cut);
    }

    fleet.run(s(40.0));

    let settled = |from: f64| fleet.arrivals.iter().filter(|arrival| arrival.at > s(from)).count() as f64;
    assert!(settled(20.0) <= 8.0 * 20.0 * 1.1, "{}", settled(20.0));
    assert!(settled(20.0) >= 8.0 * 20.0 * 0.8, "{}", settled(20.0));
}

fn faults(vms: usize) -> impl Strategy<Value = Vec<(f64, usize, u8, f64)>> {
    prop::collection::vec((8.0..30.0f64, 0..vms, 0..3u8, 0.2..9.0f64), 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: proptest::test_runner::RngSeed::Fixed(22), ..ProptestConfig::default() })]

    /// Guards against VMs that restart, pause, leave or lose messages and bring a new part of the limit with them. No VM is
    /// excused.
    #[test]
    fn restarts_pauses_and_losses_admit_nothing_extra(
        (vms, faults) in (2..40usize).prop_flat_map(|vms| (Just(vms), faults(vms))),
        limit in 0.25..25.0f64,
        loss in 0.0..0.3f64,
        seed: u64,
    ) {
        let mut fleet = Fleet::start(vms, 3.0 * limit + 5.0, loss, seed);
        fleet.state(s(2.0), Some(limit));
        for (at, vm, kind, length) in faults {
            let fault = [Fault::Pause, Fault::Kill, Fault::Leave][usize::from(kind)];
            fleet.fault(s(at), vm, fault);
            if kind == 2 {
                fleet.fault(s(at + length), vm, Fault::Kill);
            }
            fleet.fault(s(at + length + 0.5), vm, Fault::Run);
        }

        fleet.run(s(45.0));

        let excess = fleet.max_excess(|_| true);
        prop_assert!(excess <= 0.0, "{}", excess);
    }

    /// Guards against VMs that are cut off and let the others exceed the limit.
    #[test]
    fn vms_that_are_not_cut_off_keep_to_the_limit(
        (vms, faults) in (3..40usize).prop_flat_map(|vms| (Just(vms), faults(vms))),
        limit in 0.25..25.0f64,
        seed: u64,
    ) {
        let mut fleet = Fleet::start(vms, 3.0 * limit + 5.0, 0.01, seed);
        fleet.state(s(2.0), Some(limit));
        for (at, vm, _, length) in faults {
            fleet.fault(s(at), vm, Fault::Cut);
            fleet.fault(s(at + length), vm, Fault::Heal);
        }

        fleet.run(s(45.0));

        let excess = fleet.max_excess(|arrival| !arrival.is_cut);
        prop_assert!(excess <= 0.0, "{}", excess);
    }
}
