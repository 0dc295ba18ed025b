//! Look-ups by failure domain and size, with the VMs of deployment A in docs/design/hard-load.md: 15 in each of 6 domains,
//! 2 of them with five times the processor time of the others.

use std::collections::HashMap;
use std::net::SocketAddr;

use mh_lookup::zonal::{ZonalVm, select};
use mh_types::{DomainName, RegionName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DOMAINS: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];
const VMS: usize = 15;
const LARGE: usize = 2;
const LOOKUPS: usize = 10_000;

fn fleet() -> Vec<ZonalVm> {
    let domains = DOMAINS.iter().enumerate();
    domains
        .flat_map(|(d, (domain, region))| {
            (0..VMS).map(move |n| ZonalVm {
                addr: SocketAddr::from(([10, 0, d as u8, n as u8], 80)),
                region: (*region).into(),
                domain: (*domain).into(),
                size: if n < LARGE { 5.0 } else { 1.0 },
                spare: 1.0,
            })
        })
        .collect()
}

/// Load of each VM, as a fraction, when callers of domain `a1` use the returned VMs alike.
fn load(vms: &[ZonalVm], region: Option<&str>, domain: Option<&str>) -> HashMap<SocketAddr, f64> {
    let mut rng = StdRng::seed_from_u64(7);
    let (region, domain) = (region.map(RegionName::from), domain.map(DomainName::from));
    let mut load: HashMap<SocketAddr, f64> = HashMap::new();
    for _ in 0..LOOKUPS {
        let answer = select(vms, region.as_ref(), domain.as_ref(), 64, || rng.random::<f64>());
        assert!((3..=64).contains(&answer.len()), "{answer:?}");
        for addr in &answer {
            *load.entry(*addr).or_default() += 1.0 / answer.len() as f64 / LOOKUPS as f64;
        }
    }
    load
}

fn load_where(vms: &[ZonalVm], load: &HashMap<SocketAddr, f64>, is: impl Fn(&ZonalVm) -> bool) -> f64 {
    let vms = vms.iter().filter(|vm| is(vm));
    vms.map(|vm| load.get(&vm.addr).copied().unwrap_or_default()).sum()
}

/// Guards against callers that cross failure domains, and against a VM of 0.1 core that gets as many callers as one of 0.5.
#[test]
fn callers_use_their_domain_in_proportion_to_size() {
    let vms = fleet();
    let load = load(&vms, Some("a"), Some("a1"));

    assert!((load_where(&vms, &load, |vm| vm.domain.as_str() == "a1") - 1.0).abs() < 1e-6);
    for vm in vms.iter().filter(|vm| vm.domain.as_str() == "a1") {
        let share = vm.size / 23.0;
        let got = load[&vm.addr];
        assert!((got / share - 1.0).abs() < 0.1, "{got} instead of {share}");
    }
}

/// Guards against keeping callers in a full domain, and against moving them all at once.
#[test]
fn a_full_domain_sheds_callers_gradually() {
    let mut last = 1.0;
    for spare in [0.3, 0.2, 0.1, 0.0] {
        let mut vms = fleet();
        let own = vms.iter_mut().filter(|vm| vm.domain.as_str() == "a1");
        own.for_each(|vm| vm.spare = spare);
        let load = load(&vms, Some("a"), Some("a1"));
        let own = load_where(&vms, &load, |vm| vm.domain.as_str() == "a1");
        let region = load_where(&vms, &load, |vm| vm.region.as_str() == "a");

        assert!(own <= last + 1e-6 && last - own < 0.4, "{own} after {last}");
        assert!((region - 1.0).abs() < 1e-6, "the region has spare capacity");
        last = own;
    }
    assert!(last < 0.05, "{last}");
}

/// Guards against a full VM that gets as many callers as the others of its domain.
#[test]
fn a_full_vm_gets_few_callers() {
    let mut vms = fleet();
    vms[LARGE].spare = 0.0;
    let load = load(&vms, Some("a"), Some("a1"));

    let got = load.get(&vms[LARGE].addr).copied().unwrap_or_default();
    assert!(got < 0.1 / 23.0, "{got}");
}

/// Guards against callers without an answer when their domain, or their region, has no live VM or no spare capacity.
#[test]
fn callers_of_a_lost_domain_or_region_are_spread() {
    let mut vms = fleet();
    vms.retain(|vm| vm.domain.as_str() != "a1");
    let load_in = |vms: &[ZonalVm], region| {
        let load = load(vms, Some("a"), Some("a1"));
        load_where(vms, &load, |vm| vm.region.as_str() == region)
    };
    assert!((load_in(&vms, "a") - 1.0).abs() < 1e-6);

    let full = vms.iter_mut().filter(|vm| vm.region.as_str() == "a");
    full.for_each(|vm| vm.spare = 0.15);
    let kept = load_in(&vms, "a");
    assert!((0.4..0.6).contains(&kept), "{kept}");

    vms.retain(|vm| vm.region.as_str() != "a");
    let (b, c) = (load_in(&vms, "b"), load_in(&vms, "c"));
    assert!((0.45..0.55).contains(&b) && (0.45..0.55).contains(&c), "{b} {c}");
}

/// Guards against leaving the own domain when every domain is full, which adds traffic between domains and no capacity.
#[test]
fn callers_stay_when_all_domains_are_full() {
    let mut vms = fleet();
    for vm in &mut vms {
        vm.spare = 0.0;
    }
    let load = load(&vms, Some("a"), Some("a1"));

    assert!((load_where(&vms, &load, |vm| vm.domain.as_str() == "a1") - 1.0).abs() < 1e-6);
}

/// Guards against an empty answer for a caller that does not state its place.
#[test]
fn callers_without_a_place_use_all_vms() {
    let vms = fleet();
    let load = load(&vms, None, None);

    for (_, region) in DOMAINS {
        let got = load_where(&vms, &load, |vm| vm.region.as_str() == region);
        assert!((0.3..0.37).contains(&got), "{region}: {got}");
    }
}

/// Guards against answers of more than the permitted number of VMs in a large domain.
#[test]
fn answers_are_bounded() {
    let mut vms = fleet();
    for n in 0..200 {
        vms.push(ZonalVm {
            addr: SocketAddr::from(([10, 1, 0, n], 80)),
            ..vms[VMS - 1].clone()
        });
    }
    vms.retain(|vm| vm.size < 2.0);
    let load = load(&vms, Some("a"), Some("a1"));

    assert_eq!(load.len(), 213);
}
