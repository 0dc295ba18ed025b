use std::collections::BTreeMap;
use std::hash::Hasher;

use mh_types::{DomainName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Scale of transmitted fractions. Its values take at most two bytes in the encoding of messages.
const FRACTION_SCALE: f64 = 4095.0;

/// Most services in one message, so that it fits one packet at 43 domains. Services beyond it, those with the least
/// demand, keep the distribution by number of VMs.
pub(super) const MAX_SERVICES: usize = 12;

/// Demand by service, in slots.
pub(super) type Demands = BTreeMap<ServiceName, f64>;

/// Fractions of the first choices by service and domain.
pub(super) type Fractions = BTreeMap<ServiceName, BTreeMap<DomainName, f64>>;

/// A message about demand between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DemandMsg {
    /// Demand of the sender, for the leader and deputy of its domain.
    Sample {
        /// Demand by service, in thousandths of a slot.
        demand: Vec<(ServiceName, u32)>,
        /// Fractions in force, from a VM that hears no leader.
        fractions: Option<DomainFractions>,
    },
    /// Demand of a failure domain, for the leaders and deputies of others.
    Total {
        /// The domain.
        domain: DomainName,
        /// Demand by service, in thousandths of a slot.
        demand: Vec<(ServiceName, u32)>,
    },
    /// Fractions for the VMs of the sender's domain.
    Fractions(DomainFractions),
}

/// Fractions of a domain's first choices, as transmitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainFractions {
    /// The domain whose VMs use them.
    domain: DomainName,
    /// Hash of the list of domains that the fractions refer to.
    domains: u32,
    /// Fractions by service, one for each domain of the list.
    services: Vec<(ServiceName, Vec<u16>)>,
}

/// Hash of the sorted list of domains, by which VMs with different settings recognise each other.
fn domains_hash(regions: &BTreeMap<DomainName, RegionName>) -> u32 {
    let mut hasher = SipHasher13::new();
    for domain in regions.keys() {
        hasher.write(domain.as_str().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish() as u32
}

impl DomainFractions {
    pub(super) fn encode(
        domain: &DomainName,
        fractions: &Fractions,
        regions: &BTreeMap<DomainName, RegionName>,
    ) -> Self {
        let services = fractions.iter().take(MAX_SERVICES).map(|(service, fractions)| {
            let fraction = |domain| fractions.get(domain).copied().unwrap_or_default();
            let scaled = regions
                .keys()
                .map(|domain| (fraction(domain).clamp(0.0, 1.0) * FRACTION_SCALE).round() as u16);
            (service.clone(), scaled.collect())
        });
        Self {
            domain: domain.clone(),
            domains: domains_hash(regions),
            services: services.collect(),
        }
    }

    /// Returns the fractions, or `None` if they are for another domain or refer to another list of domains.
    pub(super) fn decode(&self, domain: &DomainName, regions: &BTreeMap<DomainName, RegionName>) -> Option<Fractions> {
        if self.domain != *domain || self.domains != domains_hash(regions) {
            return None;
        }
        let services = self.services.iter().filter_map(|(service, scaled)| {
            if scaled.len() != regions.len() || scaled.iter().all(|scaled| *scaled == 0) {
                return None;
            }
            // Not normalised, so that repeated encoding changes nothing; only the ratios matter.
            let scaled = regions.keys().zip(scaled).filter(|(_, scaled)| **scaled > 0);
            let fractions = scaled.map(|(domain, scaled)| (domain.clone(), f64::from(*scaled) / FRACTION_SCALE));
            Some((service.clone(), fractions.collect()))
        });
        Some(services.collect())
    }
}

pub(super) fn encode_demand(demand: &Demands) -> Vec<(ServiceName, u32)> {
    let scaled = demand
        .iter()
        .map(|(service, slots)| (service.clone(), (slots * 1000.0) as u32));
    let mut scaled: Vec<_> = scaled.collect();
    scaled.sort_by_key(|(_, demand)| std::cmp::Reverse(*demand));
    scaled.truncate(MAX_SERVICES);
    scaled
}

pub(super) fn decode_demand(scaled: &[(ServiceName, u32)]) -> Demands {
    let demand = scaled.iter().take(MAX_SERVICES);
    demand
        .map(|(service, scaled)| (service.clone(), f64::from(*scaled) / 1000.0))
        .collect()
}
