use std::collections::BTreeMap;

use mh_types::RegionName;

/// Part of a region's slots that its own callers' objects may fill; the rest absorbs uneven objects.
const FILL: f64 = 0.85;

/// Where this VM is, and how the callers' requests are spread over regions.
///
/// Objects whose callers are in a region stay on its servers as far as they have room, which saves the way between
/// regions; the others go to the regions that have more room than callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places {
    /// Region of this VM, whose callers it serves; `None` to treat all regions alike.
    pub home: Option<RegionName>,
    /// VMs by region. Callers use the VMs of their region, so their number stands for the callers there.
    pub vms: BTreeMap<RegionName, u32>,
}

impl Places {
    /// The part of this VM's objects that goes to each slot of each region.
    pub(crate) fn parts<'a>(&self, servers: impl Iterator<Item = (&'a RegionName, u32)>) -> BTreeMap<RegionName, f64> {
        let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
        for (region, count) in servers {
            *slots.entry(region.clone()).or_default() += f64::from(count);
        }
        let all_slots: f64 = slots.values().sum();
        let all_vms: f64 = self.vms.values().map(|vms| f64::from(*vms)).sum();
        let even = || slots.keys().map(|region| (region.clone(), 1.0)).collect();
        let Some(home) = self
            .home
            .as_ref()
            .filter(|home| slots.contains_key(*home) && all_vms > 0.0)
        else {
            return even();
        };
        let room = |region: &RegionName| slots[region] / all_slots * FILL;
        let callers = |region: &RegionName| f64::from(self.vms.get(region).copied().unwrap_or_default()) / all_vms;
        let kept = (room(home) / callers(home).max(f64::MIN_POSITIVE)).min(1.0);
        let spare = |region: &RegionName| (room(region) - callers(region)).max(0.0);
        let others = || slots.keys().filter(|region| *region != home);
        let all_spare: f64 = others().map(spare).sum();
        let mut out: BTreeMap<RegionName, f64> = others()
            .map(|region| {
                let part = if all_spare > 0.0 {
                    spare(region) / all_spare
                } else {
                    slots[region] / all_slots
                };
                (region.clone(), (1.0 - kept) * part / slots[region].max(1.0))
            })
            .collect();
        out.insert(home.clone(), kept / slots[home].max(1.0));
        out
    }
}
