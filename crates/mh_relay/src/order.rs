use std::collections::BTreeMap;
use std::hash::Hasher;

use mh_types::{DomainName, VmName};
use siphasher::sip::SipHasher13;

/// The order in which VMs read: the first of each failure domain, then the second of each, and so on, so that the loss
/// of one domain leaves a reader. Every VM with the same list finds the same order.
pub(crate) fn order(vms: impl IntoIterator<Item = (VmName, DomainName)>) -> Vec<VmName> {
    let mut domains: BTreeMap<DomainName, Vec<(u64, VmName)>> = BTreeMap::new();
    for (vm, domain) in vms {
        domains.entry(domain).or_default().push((weight(&vm), vm));
    }
    let mut ranked: Vec<(usize, u64, VmName)> = Vec::new();
    for mut vms in domains.into_values() {
        vms.sort_unstable();
        let places = vms.into_iter().enumerate();
        ranked.extend(places.map(|(place, (weight, vm))| (place, weight, vm)));
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, vm)| vm).collect()
}

pub(crate) fn weight(vm: &VmName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}
