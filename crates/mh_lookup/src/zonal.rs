//! Selection of VMs for callers that state their region and failure domain and use the returned VMs alike.

use std::net::SocketAddr;

use mh_types::{DomainName, RegionName};

/// Spare capacity below which a VM gets fewer look-ups. Callers keep an answer for seconds, so that shedding has to begin
/// before the VM is full.
const SHED_BELOW: f64 = 0.3;

/// Fraction of the weight that a VM without spare capacity keeps, so that it is seen to recover.
const MIN_SHARE: f64 = 0.02;

/// Difference of the kept fractions at which another domain or region takes all look-ups that one sheds.
const FULL_GAIN: f64 = 0.3;

/// VMs that an answer has at least, if the domain has as many, so that a caller can use another if one fails.
const MIN_VMS: usize = 3;

/// A live VM that look-ups may return.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonalVm {
    /// Address for callers.
    pub addr: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Relative capacity.
    pub size: f64,
    /// Unused fraction of its scarcest resource.
    pub spare: f64,
}

impl ZonalVm {
    fn weight(&self) -> f64 {
        self.size.max(f64::MIN_POSITIVE) * (self.spare / SHED_BELOW).clamp(MIN_SHARE, 1.0)
    }
}

/// Weight and size of a group of VMs.
#[derive(Clone, Copy, Default)]
struct Group {
    weight: f64,
    size: f64,
}

impl Group {
    fn of<'a>(vms: impl Iterator<Item = &'a ZonalVm>) -> Self {
        vms.fold(Self::default(), |sum, vm| Self {
            weight: sum.weight + vm.weight(),
            size: sum.size + vm.size.max(f64::MIN_POSITIVE),
        })
    }

    /// Fraction of the callers that the group keeps.
    fn kept(self) -> f64 {
        if self.size > 0.0 { self.weight / self.size } else { 0.0 }
    }
}

/// Returns at most `max` VMs for a caller, from one failure domain. `random` returns random numbers from 0 to 1.
///
/// The caller's domain is chosen as long as its VMs have spare capacity, then other domains of its region, then other
/// regions. A VM is returned with a probability in proportion to its weight, which is its size, reduced while it has
/// little spare capacity.
pub fn select(
    vms: &[ZonalVm],
    region: Option<&RegionName>,
    domain: Option<&DomainName>,
    max: usize,
    mut random: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let in_region = |vm: &ZonalVm| region.is_none_or(|region| vm.region == *region);
    let in_domain = |vm: &ZonalVm| in_region(vm) && domain.is_some_and(|domain| vm.domain == *domain);
    let own = Group::of(vms.iter().filter(|vm| in_domain(vm)));
    let near = Group::of(vms.iter().filter(|vm| in_region(vm) && !in_domain(vm)));
    let far = Group::of(vms.iter().filter(|vm| !in_region(vm)));
    // Callers leave a group as far as another one has more spare capacity, so that none is moved when all are full.
    let leaves = |group: Group, next: &[Group], draw: f64| {
        let best = next.iter().map(|next| next.kept()).fold(0.0, f64::max);
        let gain = ((best - group.kept()) / FULL_GAIN).clamp(0.0, 1.0);
        group.size <= 0.0 || draw < (1.0 - group.kept()) * gain
    };
    let chosen: Vec<&ZonalVm> = if !leaves(own, &[near, far], random()) {
        vms.iter().filter(|vm| in_domain(vm)).collect()
    } else if !leaves(near, &[far], random()) {
        vms.iter().filter(|vm| in_region(vm) && !in_domain(vm)).collect()
    } else if far.size > 0.0 {
        vms.iter().filter(|vm| !in_region(vm)).collect()
    } else {
        vms.iter().filter(|vm| in_region(vm)).collect()
    };
    let domain = pick_domain(&chosen, random());
    let mut of_domain: Vec<&ZonalVm> = chosen.into_iter().filter(|vm| Some(&vm.domain) == domain).collect();
    // Systematic sampling returns VMs in fixed combinations unless their order varies.
    for i in (1..of_domain.len()).rev() {
        let other = (random() * (i + 1) as f64) as usize;
        of_domain.swap(i, other.min(i));
    }
    sample(&of_domain, max, random())
}

/// Chooses a domain in proportion to the weight of its VMs.
fn pick_domain<'a>(vms: &[&'a ZonalVm], draw: f64) -> Option<&'a DomainName> {
    let all: f64 = vms.iter().map(|vm| vm.weight()).sum();
    let mut left = draw * all;
    for vm in vms {
        left -= vm.weight();
        if left < 0.0 {
            return Some(&vm.domain);
        }
    }
    vms.last().map(|vm| &vm.domain)
}

/// Systematic sampling: VMs lie on a line with a length of their weight each, and those at equal distances are chosen.
fn sample(vms: &[&ZonalVm], max: usize, draw: f64) -> Vec<SocketAddr> {
    let all: f64 = vms.iter().map(|vm| vm.weight()).sum();
    let heaviest = vms.iter().map(|vm| vm.weight()).fold(0.0, f64::max);
    if heaviest <= 0.0 {
        return Vec::new();
    }
    // More would return the heaviest VM in each answer and others in more than their share.
    let exact = (all / heaviest * (1.0 + 1e-9)) as usize;
    let count = exact.max(MIN_VMS).min(max).min(vms.len());
    let distance = all / count as f64;
    let mut next = draw * distance;
    let mut at = 0.0;
    let mut out = Vec::with_capacity(count);
    for vm in vms {
        at += vm.weight();
        if next < at {
            out.push(vm.addr);
        }
        while next < at {
            next += distance;
        }
    }
    // A VM of more than one distance takes several places; others fill them.
    for vm in vms {
        if out.len() >= count {
            break;
        }
        if !out.contains(&vm.addr) {
            out.push(vm.addr);
        }
    }
    out
}
