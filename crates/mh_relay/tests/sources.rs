//! Whom a VM fetches from what it missed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mh_relay::{Election, RelayLimits};
use mh_types::{DomainName, VmName};
use tokio::time::Instant;

/// Guards against a reader that gives a large change to a whole region, against copies that cross between failure domains
/// without need, and against VMs that none of the readers' copies reach.
#[test]
fn sources_form_a_tree_in_each_domain() {
    let now = Instant::now();
    let domain_of = |n: usize| ["a", "b", "c"][n % 3];
    let name = |n: usize| -> VmName { format!("vm-{n}").as_str().into() };
    let list = || (0..98).map(|n| (name(n), DomainName::from(domain_of(n))));
    let mut given: HashMap<VmName, usize> = HashMap::new();
    let mut first: HashMap<VmName, VmName> = HashMap::new();
    let mut crossing = 0;

    for n in 0..98 {
        let mut election = Election::new(name(n), RelayLimits::within(Duration::from_secs(3)), now);
        election.set_vms(list(), now);
        let source = election.sources()[0].clone();
        let number: usize = source.as_str()[3..].parse().unwrap();
        crossing += usize::from(domain_of(number) != domain_of(n));
        if !election.is_first_choice() {
            *given.entry(source.clone()).or_default() += 1;
            first.insert(name(n), source);
        }
    }

    assert!(given.values().all(|copies| *copies <= 5), "{given:?}");
    assert!(crossing <= 5, "{crossing} copies cross between domains");
    for n in 0..98 {
        let mut vm = name(n);
        let mut steps = 0;
        while let Some(source) = first.get(&vm) {
            vm = source.clone();
            steps += 1;
            assert!(steps <= 5, "{vm} is {steps} steps away from a reader");
        }
    }
}

/// Guards against VMs that are added together and all ask the same one.
#[test]
fn vms_that_are_not_listed_yet_ask_different_ones() {
    let now = Instant::now();
    let name = |n: usize| -> VmName { format!("vm-{n}").as_str().into() };
    let asked: HashSet<VmName> = (100..140)
        .map(|n| {
            let mut election = Election::new(name(n), RelayLimits::within(Duration::from_secs(3)), now);
            election.set_vms((0..90).map(|n| (name(n), "a".into())), now);
            election.sources()[0].clone()
        })
        .collect();

    assert!(asked.len() > 25, "{}", asked.len());
}
