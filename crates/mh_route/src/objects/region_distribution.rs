use std::collections::BTreeMap;

use mh_types::{DomainName, RegionName};

/// Fraction of a region's slots that the objects of its own callers may fill; the rest absorbs uneven load per object.
pub(super) const MAX_LOCAL_FILL: f64 = 0.85;

/// Location of this VM and distribution of the callers' requests over regions.
///
/// The objects of a region's callers stay on its servers as far as their capacity allows, which avoids traffic between
/// regions; the others go to regions with more capacity than callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionDistribution {
    /// Region of this VM and its callers; `None` to treat all regions alike.
    pub local_region: Option<RegionName>,
    /// Number of VMs by region. Callers use the VMs of their region, so it is proportional to the callers there.
    pub vms: BTreeMap<RegionName, u32>,
    /// Fractions of this VM's objects whose first choice is in each failure domain, by measured demand; `None` to use
    /// the number of VMs.
    pub domain_fractions: Option<BTreeMap<DomainName, f64>>,
}

impl RegionDistribution {
    /// Relative weight of one slot in the choice of a server for this VM's objects, by failure domain.
    pub(crate) fn slot_weights<'a>(
        &self,
        servers: impl Iterator<Item = (&'a DomainName, &'a RegionName, u32)>,
    ) -> BTreeMap<DomainName, f64> {
        let mut slots: BTreeMap<&DomainName, (&RegionName, f64)> = BTreeMap::new();
        for (domain, region, count) in servers {
            slots.entry(domain).or_insert((region, 0.0)).1 += f64::from(count);
        }
        if let Some(fractions) = &self.domain_fractions {
            let weight = |domain: &DomainName, slots: f64| {
                let fraction = fractions.get(domain).copied().unwrap_or_default();
                fraction / slots.max(1.0)
            };
            let weights: BTreeMap<DomainName, f64> = slots
                .iter()
                .map(|(domain, (_, slots))| ((*domain).clone(), weight(domain, *slots)))
                .collect();
            // The domains with a fraction may all be drained.
            if weights.values().any(|weight| *weight > 0.0) {
                return weights;
            }
        }
        let by_region = self.region_slot_weights(slots.values().copied());
        let weight = |region: &RegionName| by_region.get(region).copied().unwrap_or_default();
        slots
            .iter()
            .map(|(domain, (region, _))| ((*domain).clone(), weight(region)))
            .collect()
    }

    fn region_slot_weights<'a>(
        &self,
        domains: impl Iterator<Item = (&'a RegionName, f64)>,
    ) -> BTreeMap<RegionName, f64> {
        let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
        for (region, count) in domains {
            *slots.entry(region.clone()).or_default() += count;
        }
        let all_slots: f64 = slots.values().sum();
        let all_vms: f64 = self.vms.values().map(|vms| f64::from(*vms)).sum();
        let even = || slots.keys().map(|region| (region.clone(), 1.0)).collect();
        let Some(local_region) = self
            .local_region
            .as_ref()
            .filter(|region| slots.contains_key(*region) && all_vms > 0.0)
        else {
            return even();
        };
        let capacity_fraction = |region: &RegionName| slots[region] / all_slots * MAX_LOCAL_FILL;
        let caller_fraction =
            |region: &RegionName| f64::from(self.vms.get(region).copied().unwrap_or_default()) / all_vms;
        let local_fraction =
            (capacity_fraction(local_region) / caller_fraction(local_region).max(f64::MIN_POSITIVE)).min(1.0);
        let spare = |region: &RegionName| (capacity_fraction(region) - caller_fraction(region)).max(0.0);
        let others = || slots.keys().filter(|region| *region != local_region);
        let all_spare: f64 = others().map(spare).sum();
        let mut out: BTreeMap<RegionName, f64> = others()
            .map(|region| {
                let fraction = if all_spare > 0.0 {
                    spare(region) / all_spare
                } else {
                    slots[region] / all_slots
                };
                (
                    region.clone(),
                    (1.0 - local_fraction) * fraction / slots[region].max(1.0),
                )
            })
            .collect();
        out.insert(local_region.clone(), local_fraction / slots[local_region].max(1.0));
        out
    }
}
