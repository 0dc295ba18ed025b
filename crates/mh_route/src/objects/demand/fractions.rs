use std::collections::BTreeMap;

use mh_types::{DomainName, RegionName};

use crate::objects::region_distribution::MAX_LOCAL_FILL;

/// Most of a domain's first choices that one step moves to another region. At most 15 in 100 of a region's requests may
/// change the region between two windows of 2 s; second choices and changes of demand need most of that.
pub const MAX_REGION_STEP: f64 = 0.03;

/// Most of a domain's first choices that one step moves to another domain. The servers there do not hold the objects yet,
/// which costs several times the work for the first request of each.
pub const MAX_DOMAIN_STEP: f64 = 0.08;

/// Difference between the fractions in force and the target that is not followed, so that small variations of the demand
/// move no objects.
const MIN_DIFFERENCE: f64 = 0.03;

/// Demand below which a domain is idle, in slots.
const MIN_DEMAND: f64 = 1e-6;

/// Returns the fractions of the first choices of domain `own` that should go to each domain.
///
/// Demand stays in its domain up to the domain's room, goes to the other domains of the region in proportion to the room
/// left there, and then to other regions. Each domain that applies this rule to the same figures takes its part of the
/// same room. At a shortage the room rises with the demand, so that all domains are equally full. `None` without slots.
pub fn target_fractions(
    own: &DomainName,
    demand: &BTreeMap<DomainName, f64>,
    slots: &BTreeMap<DomainName, f64>,
    regions: &BTreeMap<DomainName, RegionName>,
) -> Option<BTreeMap<DomainName, f64>> {
    let all_slots: f64 = slots.values().sum();
    let own_region = regions.get(own)?;
    if all_slots <= 0.0 {
        return None;
    }
    let demand_of = |domain: &DomainName| demand.get(domain).copied().unwrap_or_default().max(MIN_DEMAND);
    let fill = (regions.keys().map(demand_of).sum::<f64>() / all_slots).max(MAX_LOCAL_FILL);
    let capacity = |domain: &DomainName| slots.get(domain).copied().unwrap_or_default() * fill;
    let room = |domain: &DomainName| (capacity(domain) - demand_of(domain)).max(0.0);
    let excess = |domain: &DomainName| (demand_of(domain) - capacity(domain)).max(0.0);
    // Room and excess by region.
    let mut by_region: BTreeMap<&RegionName, (f64, f64)> = BTreeMap::new();
    for (domain, region) in regions {
        let sums = by_region.entry(region).or_default();
        sums.0 += room(domain);
        sums.1 += excess(domain);
    }
    let own_demand = demand_of(own);
    let away = excess(own) / own_demand;
    let mut out = BTreeMap::from([(own.clone(), 1.0 - away)]);
    if away <= 0.0 {
        return Some(out);
    }
    let (region_room, region_excess) = by_region[own_region];
    let in_region = away * (region_room / region_excess).min(1.0);
    let spare_in = |region: &RegionName| (by_region[region].0 - by_region[region].1).max(0.0);
    let others = || by_region.keys().filter(|region| **region != own_region);
    let all_spare: f64 = others().map(|region| spare_in(region)).sum();
    for (domain, region) in regions.iter().filter(|(domain, _)| *domain != own) {
        let region_room = by_region[region].0;
        if region_room <= 0.0 {
            continue;
        }
        let to_region = if region == own_region {
            in_region
        } else if all_spare > 0.0 {
            (away - in_region) * spare_in(region) / all_spare
        } else {
            0.0
        };
        let fraction = to_region * room(domain) / region_room;
        if fraction > 0.0 {
            out.insert(domain.clone(), fraction);
        }
    }
    // Rounding may leave a little undistributed.
    let sum: f64 = out.values().sum();
    for fraction in out.values_mut() {
        *fraction /= sum.max(f64::MIN_POSITIVE);
    }
    Some(out)
}

/// Returns the fractions after one bounded step from `from` towards `to`; `None` if they are close enough.
pub fn next_step(
    from: &BTreeMap<DomainName, f64>,
    to: &BTreeMap<DomainName, f64>,
    regions: &BTreeMap<DomainName, RegionName>,
) -> Option<BTreeMap<DomainName, f64>> {
    let fraction = |map: &BTreeMap<DomainName, f64>, domain| map.get(domain).copied().unwrap_or_default();
    let mut by_region: BTreeMap<&RegionName, f64> = BTreeMap::new();
    let mut moved = 0.0;
    for (domain, region) in regions {
        let change = fraction(to, domain) - fraction(from, domain);
        moved += change.abs() / 2.0;
        *by_region.entry(region).or_default() += change;
    }
    if moved < MIN_DIFFERENCE {
        return None;
    }
    let moved_between_regions = by_region.values().map(|change| change.abs() / 2.0).sum::<f64>();
    let scale = (MAX_DOMAIN_STEP / moved)
        .min(MAX_REGION_STEP / moved_between_regions.max(f64::MIN_POSITIVE))
        .min(1.0);
    let next = regions.keys().map(|domain| {
        let from = fraction(from, domain);
        (domain.clone(), from + (fraction(to, domain) - from) * scale)
    });
    Some(next.filter(|(_, fraction)| *fraction > 0.0).collect())
}
