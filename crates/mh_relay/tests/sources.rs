//! VMs from which a VM fetches missed changes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mh_relay::{Election, RelayTimings};
use mh_types::{DomainName, VmName};
use tokio::time::Instant;

/// Guards against one reader sending a large change to a whole region, against unnecessary copies between failure
/// domains, and against VMs that no copy from a reader reaches.
#[test]
fn sources_form_a_tree_in_each_domain() {
    let now = Instant::now();
    let domain_of = |n: usize| ["a", "b", "c"][n % 3];
    let name = |n: usize| -> VmName { format!("vm-{n}").as_str().into() };
    let list = || (0..98).map(|n| (name(n), DomainName::from(domain_of(n))));
    let mut copies_from: HashMap<VmName, usize> = HashMap::new();
    let mut source_of: HashMap<VmName, VmName> = HashMap::new();
    let mut cross_domain = 0;

    for n in 0..98 {
        let mut election = Election::new(name(n), RelayTimings::for_deadline(Duration::from_secs(3)), now);
        election.set_vms(list(), now);
        let source = election.sources()[0].clone();
        let number: usize = source.as_str()[3..].parse().unwrap();
        cross_domain += usize::from(domain_of(number) != domain_of(n));
        if !election.is_preferred_reader() {
            *copies_from.entry(source.clone()).or_default() += 1;
            source_of.insert(name(n), source);
        }
    }

    assert!(copies_from.values().all(|copies| *copies <= 5), "{copies_from:?}");
    assert!(cross_domain <= 5, "{cross_domain} copies cross between domains");
    for n in 0..98 {
        let mut vm = name(n);
        let mut steps = 0;
        while let Some(source) = source_of.get(&vm) {
            vm = source.clone();
            steps += 1;
            assert!(steps <= 5, "{vm} is {steps} steps away from a reader");
        }
    }
}

/// Guards against VMs that are added at the same time and all fetch from the same VM.
#[test]
fn unlisted_vms_use_different_sources() {
    let now = Instant::now();
    let name = |n: usize| -> VmName { format!("vm-{n}").as_str().into() };
    let asked: HashSet<VmName> = (100..140)
        .map(|n| {
            let mut election = Election::new(name(n), RelayTimings::for_deadline(Duration::from_secs(3)), now);
            election.set_vms((0..90).map(|n| (name(n), "a".into())), now);
            election.sources()[0].clone()
        })
        .collect();

    assert!(asked.len() > 25, "{}", asked.len());
}
