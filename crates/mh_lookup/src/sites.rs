use crate::SiteId;
use crate::vm::Vm;

/// A serving VM with everything that a look-up needs to rank it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingVm {
    pub(crate) hash: u64,
    pub(crate) inverse_weight: f64,
    pub(crate) headroom: u32,
    /// Index in the table's list of VMs.
    pub(crate) vm: u16,
}

/// Serving VMs grouped by site and stored contiguously, so that ranking the VMs of a site reads few cache lines.
#[derive(Debug, Default)]
pub(crate) struct Sites {
    /// Index in `vms` of the first VM of each site; one more item than there are sites.
    starts: Vec<u16>,
    vms: Vec<ServingVm>,
}

impl Sites {
    /// Groups the serving VMs of `vms` by site. `vms` has at most 65,535 items.
    pub(crate) fn new(vms: &[Vm]) -> Self {
        let count = vms.iter().map(|vm| usize::from(vm.spec.site.0) + 1).max().unwrap_or(0);
        let mut serving: Vec<usize> = (0..vms.len()).filter(|i| vms[*i].is_serving()).collect();
        serving.sort_by_key(|i| vms[*i].spec.site);
        let start = |site: usize| serving.partition_point(|i| usize::from(vms[*i].spec.site.0) < site) as u16;
        let serving_vm = |i: &usize| {
            let vm = &vms[*i];
            let inverse_weight = 1.0 / f64::from(vm.spec.weight);
            ServingVm {
                hash: vm.hash,
                inverse_weight,
                headroom: vm.spec.headroom,
                vm: *i as u16,
            }
        };
        Self {
            starts: (0..=count).map(start).collect(),
            vms: serving.iter().map(serving_vm).collect(),
        }
    }

    /// Returns the serving VMs of a site; empty for an unknown site.
    pub(crate) fn serving_vms(&self, site: SiteId) -> &[ServingVm] {
        let site = usize::from(site.0);
        match (self.starts.get(site), self.starts.get(site + 1)) {
            (Some(start), Some(end)) => &self.vms[usize::from(*start)..usize::from(*end)],
            _ => &[],
        }
    }
}
