//! Decisions of a VM that may be cut off from the backend servers.

use std::collections::HashMap;
use std::time::Duration;

use mh_path::{CheckResult, MAX_TUNNEL_VMS, Reachability, TunnelVm, TunnelVms};
use mh_types::RegionName;
use proptest::prelude::*;
use tokio::time::Instant;

fn tunnel_vm(n: usize, region: &str) -> TunnelVm {
    TunnelVm {
        vm: format!("vm-{n}").as_str().into(),
        region: region.into(),
        addr: ([127, 0, 0, 1], 7000 + n as u16).into(),
    }
}

fn tunnel_vms(near: usize, far: usize) -> TunnelVms {
    let mut tunnel_vms = TunnelVms::default();
    let near = (0..near).map(|n| tunnel_vm(n, "north"));
    tunnel_vms.set_vms(near.chain((100..100 + far).map(|n| tunnel_vm(n, "south"))).collect());
    tunnel_vms
}

/// Guards against a VM that takes a server that is down for a cut of its own links.
#[test]
fn one_reached_server_shows_that_the_links_work() {
    let now = Instant::now();
    let mut reachability = Reachability::default();

    let changed = reachability.on_check(now, CheckResult { reached: 1, failed: 2 });

    assert!(!changed && !reachability.is_cut_off());
}

/// Guards against checks that run at the same time, or that follow each other without a pause.
#[test]
fn checks_are_spaced() {
    let now = Instant::now();
    let mut reachability = Reachability::default();

    assert!(reachability.start_check(now));
    assert!(!reachability.start_check(now));
    reachability.on_check(now, CheckResult { reached: 0, failed: 3 });
    assert!(!reachability.start_check(now + Duration::from_millis(499)));
    assert!(reachability.start_check(now + Duration::from_millis(500)));
}

/// Guards against a VM that counts as cut off because no server is listed.
#[test]
fn a_check_without_servers_changes_nothing() {
    let mut reachability = Reachability::default();

    let changed = reachability.on_check(Instant::now(), CheckResult::default());

    assert!(!changed && !reachability.is_cut_off());
}

/// Guards against all cut-off VMs using tunnels through the same VM.
#[test]
fn tunnels_spread_over_the_vms_of_the_region() {
    let tunnel_vms = tunnel_vms(5, 5);
    let mut first_choices: HashMap<String, usize> = HashMap::new();

    for n in 0..1000_u64 {
        let rnd = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = tunnel_vms.choose(Instant::now(), &"north".into(), &[], rnd);
        *first_choices.entry(chosen[0].vm.to_string()).or_default() += 1;
    }

    assert_eq!(first_choices.len(), 5);
    assert!(first_choices.values().all(|count| *count > 120), "{first_choices:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// Guards against a request that passes through a region it must not enter, or through a VM that just refused.
    #[test]
    fn only_allowed_and_rested_vms_are_chosen(
        near in 0_usize..6,
        far in 0_usize..6,
        refused in proptest::collection::vec(0_usize..106, 0..8),
        homed in any::<bool>(),
        rnd in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut tunnel_vms = tunnel_vms(near, far);
        for n in &refused {
            tunnel_vms.on_refused(&tunnel_vm(*n, "").vm, now);
        }
        let regions: &[RegionName] = if homed { &["south".into()] } else { &[] };

        let chosen = tunnel_vms.choose(now, &"north".into(), regions, rnd);

        prop_assert!(chosen.len() <= MAX_TUNNEL_VMS);
        prop_assert!(chosen.iter().all(|vm| !homed || vm.region.as_str() == "south"));
        prop_assert!(refused.iter().all(|n| chosen.iter().all(|vm| vm.vm != tunnel_vm(*n, "").vm)));
        let rested = (0..near).chain(100..100 + far).filter(|n| !refused.contains(n) && (!homed || *n >= 100)).count();
        prop_assert_eq!(chosen.len(), rested.min(MAX_TUNNEL_VMS));
        // VMs of the own region come first.
        prop_assert!(chosen.is_sorted_by_key(|vm| vm.region.as_str() != "north"));
    }
}
