use mh_member::{Config, Membership};
use mh_types::Incarnation;
use tokio::time::Instant;

use crate::{Bounds, GatewaySettings};

/// The membership protocol, fast enough that a VM that stopped is not named beyond the deployment's bound.
pub(super) fn members(cfg: &GatewaySettings, bounds: &Bounds, incarnation: Incarnation) -> Membership {
    let usual = Config::default();
    let config = Config {
        addr: Some(cfg.listen.peers),
        probe_interval: usual.probe_interval.min(bounds.vm_loss / 6),
        indirect_timeout: usual.indirect_timeout.min(bounds.vm_loss / 8),
        suspicion_timeout: usual.suspicion_timeout.min(bounds.vm_loss / 4),
        domain_silence_timeout: usual.domain_silence_timeout.min(bounds.vm_loss / 2),
        ..usual
    };
    let (domain, region) = (cfg.domain.clone(), cfg.region.clone());
    Membership::new(cfg.vm.clone(), incarnation, domain, region, Instant::now(), config)
}
