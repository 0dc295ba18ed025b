use mh_member::{Config, Membership};
use mh_types::Incarnation;
use tokio::time::Instant;

use crate::{Bounds, GatewaySettings};

/// Configures the membership protocol with timeouts short enough that look-ups drop a stopped VM within the
/// deployment's bound.
pub(super) fn new_membership(cfg: &GatewaySettings, bounds: &Bounds, incarnation: Incarnation) -> Membership {
    let defaults = Config::default();
    let config = Config {
        addr: Some(cfg.listen.peers),
        probe_interval: defaults.probe_interval.min(bounds.vm_loss / 6),
        indirect_timeout: defaults.indirect_timeout.min(bounds.vm_loss / 8),
        suspicion_timeout: defaults.suspicion_timeout.min(bounds.vm_loss / 4),
        domain_silence_timeout: defaults.domain_silence_timeout.min(bounds.vm_loss / 2),
        ..defaults
    };
    let (domain, region) = (cfg.domain.clone(), cfg.region.clone());
    Membership::new(cfg.vm.clone(), incarnation, domain, region, Instant::now(), config)
}
