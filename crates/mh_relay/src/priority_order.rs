use std::collections::BTreeMap;
use std::hash::Hasher;

use mh_types::{DomainName, VmName};
use siphasher::sip::SipHasher13;

/// Returns the priority order of the VMs for reading: the first VM of each failure domain, then the second of each, and
/// so on, so that a reader remains after the loss of one domain. VMs with the same list compute the same order.
pub(crate) fn priority_order(vms: impl IntoIterator<Item = (VmName, DomainName)>) -> Vec<VmName> {
    let mut domains: BTreeMap<DomainName, Vec<(u64, VmName)>> = BTreeMap::new();
    for (vm, domain) in vms {
        domains.entry(domain).or_default().push((name_hash(&vm), vm));
    }
    let mut ranked: Vec<(usize, u64, VmName)> = Vec::new();
    for mut vms in domains.into_values() {
        vms.sort_unstable();
        let numbered = vms.into_iter().enumerate();
        ranked.extend(numbered.map(|(position, (hash, vm))| (position, hash, vm)));
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, vm)| vm).collect()
}

/// Hashes a VM name; the result is the same on every VM.
pub(crate) fn name_hash(vm: &VmName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}
