use std::collections::HashMap;
use std::hash::Hasher;

use mh_types::{DomainName, RegionName, ServerName, VmName};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::{LimitVm, Target};

/// The live VMs that a VM knew from one moment on.
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) since: Instant,
    pub(crate) vms: Vec<LimitVm>,
    listed: usize,
    by_domain: HashMap<DomainName, Vec<Candidate>>,
    by_region: HashMap<RegionName, Vec<Candidate>>,
    all: Vec<Candidate>,
}

#[derive(Clone, Debug)]
struct Candidate {
    vm: VmName,
    hash: u64,
}

impl View {
    pub(crate) fn new(since: Instant, vms: &[LimitVm], listed: usize) -> Self {
        let mut by_domain: HashMap<DomainName, Vec<Candidate>> = HashMap::new();
        let mut by_region: HashMap<RegionName, Vec<Candidate>> = HashMap::new();
        let mut all = Vec::with_capacity(vms.len());
        for vm in vms {
            let candidate = Candidate {
                vm: vm.vm.clone(),
                hash: name_hash(vm.vm.as_str()),
            };
            by_domain.entry(vm.domain.clone()).or_default().push(candidate.clone());
            by_region.entry(vm.region.clone()).or_default().push(candidate.clone());
            all.push(candidate);
        }
        Self {
            since,
            vms: vms.to_vec(),
            listed: listed.max(vms.len()),
            by_domain,
            by_region,
            all,
        }
    }

    pub(crate) fn is_same(&self, vms: &[LimitVm], listed: usize) -> bool {
        self.vms == vms && self.listed == listed.max(vms.len())
    }

    /// Returns the VM that admits requests for a server: one of its failure domain, so that both are cut off together,
    /// else one of its region, else any.
    pub(crate) fn owner(&self, target: &Target) -> Option<&VmName> {
        let near = self.by_domain.get(&target.domain);
        let near = near.or_else(|| self.by_region.get(&target.region)).unwrap_or(&self.all);
        let server = server_hash(&target.server);
        let weight = |candidate: &&Candidate| mix(candidate.hash ^ server);
        near.iter().max_by_key(weight).map(|candidate| &candidate.vm)
    }

    /// Fraction of the listed VMs that are in this view. Every listed VM has an equal part of each limit, and those that
    /// see each other pool their parts, so that the parts of a split fleet never add up to more than the limit.
    pub(crate) fn pooled_fraction(&self) -> f64 {
        self.vms.len() as f64 / self.listed.max(1) as f64
    }
}

fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

fn server_hash(server: &ServerName) -> u64 {
    name_hash(server.as_str())
}

/// Spreads the bits of `x` evenly (the finaliser of `SplitMix64`).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
