//! Selection and order of the VMs that a look-up returns.

mod common;

use std::collections::BTreeMap;

use common::{caller, names, spec, vm};
use mh_lookup::prelude::*;
use mh_types::{Code, OrgName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const CALLERS: u32 = 4000;

fn state(name: &str, state: VmAvailability) -> Change {
    Change::State(name.into(), state)
}

/// Guards against the loss of one VM moving callers of other VMs.
#[test]
fn loss_of_a_vm_moves_only_its_own_callers() {
    let table = Table::build(spec(1, 10)).unwrap();
    let without = table.with_change(&state("v0-3", VmAvailability::Failed)).unwrap();
    let removed = table.with_change(&Change::RemoveVm("v0-3".into())).unwrap();
    let mut moved: BTreeMap<String, u32> = BTreeMap::new();

    for i in 0..CALLERS {
        let (before, after) = (names(&table, caller(i)), names(&without, caller(i)));
        let kept: Vec<_> = before.iter().filter(|n| *n != "v0-3").collect();
        assert!(
            kept.iter().zip(&after).all(|(a, b)| *a == b),
            "{before:?} became {after:?}"
        );
        assert_eq!(after, names(&removed, caller(i)));
        if before[0] == "v0-3" {
            *moved.entry(after[0].clone()).or_default() += 1;
        }
    }

    // About 400 callers of the lost VM are distributed over all nine others.
    assert!((300..500).contains(&moved.values().sum::<u32>()));
    assert!(
        moved.len() == 9 && moved.values().all(|n| (20..80).contains(n)),
        "{moved:?}"
    );
}

/// Guards against a distribution of callers that does not follow the weights.
#[test]
fn weights_are_respected() {
    let mut spec = spec(1, 4);
    for (vm, weight) in spec.vms.iter_mut().zip([1, 2, 5, 0]) {
        vm.weight = weight;
    }
    let table = Table::build(spec).unwrap();

    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for i in 0..8000 {
        let mut found = names(&table, caller(i));
        assert_eq!(found.len(), 3, "a VM of weight zero is never named");
        *first.entry(found.remove(0)).or_default() += 1;
    }

    assert!((850..1150).contains(&first["v0-0"]), "{first:?}");
    assert!((1800..2200).contains(&first["v0-1"]), "{first:?}");
    assert!((4750..5250).contains(&first["v0-2"]), "{first:?}");
}

/// Guards against results whose VMs all belong to one site, and against a far site before a near one.
#[test]
fn results_start_at_the_nearest_site_and_span_two_sites() {
    let mut spec = spec(3, 5);
    spec.blocks = vec![("10.0.0.0/8".parse().unwrap(), RankingId(1))];
    let table = Table::build(spec).unwrap();

    for i in 0..200 {
        let sites: String = names(&table, caller(i)).iter().map(|n| n[1..2].to_owned()).collect();
        assert_eq!(sites, "1122");
    }
    let outside = table.find("192.0.2.1".parse().unwrap(), None, 0);
    assert!(outside[0].vm.name.as_str().starts_with("v0-"));
}

/// Guards against exceeding the headroom of a VM by recent look-ups, and against a VM that stays full after its
/// lifetime has passed.
#[test]
fn look_ups_count_against_headroom_for_one_lifetime() {
    let mut spec = spec(2, 2);
    spec.vms[0].headroom = 30;
    spec.vms[1].headroom = 30;
    let table = Table::build(spec).unwrap();
    let first = |table: &Table, from: u32, to: u32, site: &str| {
        (from..to)
            .filter(|i| names(table, caller(*i))[0].starts_with(site))
            .count()
    };

    let near = first(&table, 0, 200, "v0-");
    table.advance_window();
    let changed = table.with_change(&state("v1-0", VmAvailability::Serving)).unwrap();
    (0..2).for_each(|_| changed.advance_window());
    let still_full = first(&changed, 200, 300, "v0-");
    changed.advance_window();
    let again = first(&changed, 300, 340, "v0-");

    assert_eq!(near, 60, "the headroom of both near VMs");
    assert_eq!(still_full, 0);
    assert!(again > 30, "a lifetime later there is headroom again");
    let full = table.with_change(&Change::Headroom("v1-0".into(), 0)).unwrap();
    let full = full.with_change(&Change::Headroom("v1-1".into(), 0)).unwrap();
    assert!(
        !names(&full, caller(1)).is_empty(),
        "callers get a result even when every VM is full"
    );
}

/// Guards against directing the callers of a small organisation to VMs that do not hold its budget.
#[test]
fn home_vms_come_first() {
    let mut spec = spec(2, 5);
    let (small, other) = (OrgName::from("team/small"), OrgName::from("team/other"));
    spec.homes = vec![(small.clone(), vec!["v1-4".into(), "v1-2".into()])];
    let table = Table::build(spec).unwrap();
    let find = |table: &Table, org: &OrgName| {
        let found = table.find(caller(1), Some(org), 0);
        found.iter().map(|c| c.vm.name.as_str().to_owned()).collect::<Vec<_>>()
    };

    let leaving = table.with_change(&state("v1-4", VmAvailability::Leaving)).unwrap();
    let cleared = table.with_change(&Change::Home(small.clone(), Vec::new())).unwrap();

    assert_eq!(find(&table, &small)[..2], ["v1-4", "v1-2"]);
    assert_eq!(find(&leaving, &small)[0], "v1-2");
    assert_eq!(find(&cleared, &small), find(&cleared, &other));
    assert_eq!(find(&table, &other), names(&table, caller(1)));
}

/// Guards against lifetimes that all end at the same time, and against references to unknown VMs or rankings.
#[test]
fn lifetimes_are_spread_and_invalid_references_are_refused() {
    let table = Table::build(spec(1, 2)).unwrap();
    let lifetime = |rnd| table.find(caller(1), None, rnd)[0].lifetime.as_secs_f64();

    assert!((lifetime(0) - 30.0).abs() < 1e-6 && (lifetime(u64::MAX) - 24.0).abs() < 1e-6);
    for change in [
        state("v9", VmAvailability::Serving),
        Change::Block("10.0.0.0/8".parse().unwrap(), Some(RankingId(9))),
        Change::Ranking(RankingId(9), Vec::new()),
        Change::Home("team/x".into(), vec!["v9".into()]),
    ] {
        assert_eq!(table.with_change(&change).unwrap_err().code(), Code::ReferenceMissing);
    }
    let twice = TableSpec {
        vms: vec![vm("a", 0), vm("a", 0)],
        ..spec(1, 0)
    };
    assert_eq!(Table::build(twice).unwrap_err().code(), Code::NameDuplicate);
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() })]

    /// Guards against a leaving, failed or removed VM in a result, a VM returned twice, and an empty or short result
    /// while enough VMs serve, after any sequence of changes.
    #[test]
    fn results_contain_distinct_serving_vms_only(steps in prop::collection::vec((0..6_u8, 0..4_u16, 0..3_usize, 0..9_u32), 1..60)) {
        let mut table = Table::build(spec(4, 3)).unwrap();
        let mut states: BTreeMap<String, VmAvailability> = vm_names().map(|n| (n, VmAvailability::Serving)).collect();
        for (i, (kind, site, number, value)) in steps.into_iter().enumerate() {
            let name = format!("v{site}-{number}");
            let wanted = [VmAvailability::Leaving, VmAvailability::Failed, VmAvailability::Serving][usize::from(kind) % 3];
            let change = match kind {
                0..=2 => state(&name, wanted),
                3 => Change::RemoveVm(name.as_str().into()),
                4 => Change::Vm(vm(&name, (site + value as u16) % 4)),
                _ => Change::Headroom(name.as_str().into(), value),
            };
            match table.with_change(&change) {
                Ok(changed) => table = changed,
                Err(error) => {
                    prop_assert!(!states.contains_key(&name), "{error}");
                    continue;
                }
            }
            match kind {
                0..=2 => drop(states.insert(name, wanted)),
                3 => drop(states.remove(&name)),
                4 => drop(states.insert(name, VmAvailability::Serving)),
                _ => {}
            }
            let serving = states.values().filter(|s| **s == VmAvailability::Serving).count();
            for k in 0..4 {
                let found = names(&table, caller(i as u32 * 4 + k));
                prop_assert!(found.iter().all(|n| states.get(n) == Some(&VmAvailability::Serving)), "{found:?}");
                prop_assert!((1..found.len()).all(|j| !found[..j].contains(&found[j])), "{found:?}");
                prop_assert_eq!(found.len(), serving.min(4));
            }
        }
    }
}

fn vm_names() -> impl Iterator<Item = String> {
    (0..4).flat_map(|s| (0..3).map(move |n| format!("v{s}-{n}")))
}
