use std::collections::{BTreeMap, BTreeSet};

use mh_member::MemberState;
use mh_route::objects::{DemandMsg, FleetDemandView, ServiceCapacity};
use mh_types::{DomainName, Event, ServiceName, VmName, emit};
use tokio::time::Instant;

use super::Datagram;
use crate::PlacementMode;
use crate::node::GatewayNode;

impl GatewayNode {
    /// Takes the measured demand and exchanges it with other VMs, where the settings ask for it. Called every
    /// [`DemandDistribution::ROUND`](mh_route::objects::DemandDistribution::ROUND).
    pub(crate) fn run_demand_round(&self, now: Instant) {
        if self.cfg.placement.distribution != PlacementMode::MeasuredDemand || self.gateway.is_leaving() {
            return;
        }
        let live = self.gateway.live();
        let elapsed = self.demand.lock().since_round(now);
        let mut own: BTreeMap<ServiceName, f64> = BTreeMap::new();
        let mut services = Vec::new();
        for (service, backends) in &live.backends {
            own.insert(service.clone(), backends.demand.take(elapsed));
            let (slots, first_choices) = backends.pool.capacity_by_domain();
            services.push(ServiceCapacity {
                service: service.clone(),
                slots,
                first_choices,
            });
        }
        let (alive, listed) = self.vms_by_domain();
        let fleet = FleetDemandView {
            alive,
            listed,
            services,
        };
        let round = self.demand.lock().on_round(now, &own, &fleet);
        for (vm, msg) in round.out {
            if let Some(addr) = self.peer_addr(&vm) {
                self.send_to(addr, &Datagram::Demand(msg));
            }
        }
        if round.changed {
            self.apply_fractions(now);
        }
    }

    /// Handles a message about demand.
    pub(crate) fn on_demand_msg(&self, from: &VmName, msg: &DemandMsg, now: Instant) {
        if self.cfg.placement.distribution == PlacementMode::MeasuredDemand && self.demand.lock().on_msg(now, from, msg)
        {
            self.apply_fractions(now);
        }
    }

    /// Returns the live VMs and the number of listed VMs by failure domain.
    fn vms_by_domain(&self) -> (BTreeMap<DomainName, BTreeSet<VmName>>, BTreeMap<DomainName, f64>) {
        let control = self.control.lock();
        let view = control.membership.view();
        let mut alive: BTreeMap<DomainName, BTreeSet<VmName>> = BTreeMap::new();
        let mut listed: BTreeMap<DomainName, f64> = BTreeMap::new();
        for vm in control.deployment.vms() {
            *listed.entry(vm.domain.clone()).or_default() += 1.0;
            if matches!(view.state(&vm.vm), Some(MemberState::Alive)) {
                alive.entry(vm.domain.clone()).or_default().insert(vm.vm.clone());
            }
        }
        (alive, listed)
    }

    /// Places requests by the fractions in force.
    fn apply_fractions(&self, now: Instant) {
        let (fractions, notable) = {
            let mut demand = self.demand.lock();
            (demand.fractions().clone(), demand.take_notable_changes())
        };
        for (service, before, own) in notable {
            emit!(
                Event::PlacementChanged,
                service = service,
                domain = self.cfg.domain,
                own_before = before.map_or_else(|| "unknown".to_owned(), |before| format!("{before:.2}")),
                own = format_args!("{own:.2}")
            );
        }
        self.control.lock().deployment.set_domain_fractions(fractions);
        self.count_placement_step();
        self.rebuild(now);
    }
}
