//! Distribution of a failure domain's objects over domains by measured demand.
//!
//! The first live VM of a domain, its leader, computes the fractions and tells them to the others, so that all VMs of the
//! domain use the same ones; see `docs/design/placement-by-demand.md`.

mod demand_distribution;
mod demand_meter;
mod demand_msg;
mod fractions;

pub use demand_distribution::{DemandDistribution, DemandRound, FleetDemandView, ServiceCapacity};
pub use demand_meter::DemandMeter;
pub use demand_msg::{DemandMsg, DomainFractions};
pub use fractions::{MAX_DOMAIN_STEP, MAX_REGION_STEP, next_step, target_fractions};
