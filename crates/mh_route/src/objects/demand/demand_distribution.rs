use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use mh_types::{DomainName, RegionName, ServiceName, VmName};
use tokio::time::Instant;

use super::demand_msg::{Demands, Fractions, MAX_SERVICES, decode_demand, encode_demand};
use super::{DemandMsg, DomainFractions, next_step, target_fractions};

/// Age at which the demand of a VM is forgotten: three rounds, so that lost messages do not matter.
const SAMPLE_AGE: Duration = Duration::from_secs(7);

/// Age at which the demand of another domain is forgotten: three messages, each of which takes two rounds.
const TOTAL_AGE: Duration = Duration::from_secs(13);

/// Time without fractions of the leader after which a VM tells those in force to the leader and deputy.
const LEADER_SILENCE: Duration = Duration::from_secs(5);

/// Time for which a leader without fractions waits for those in force in its domain.
const LEADER_START: Duration = Duration::from_secs(6);

/// Time constant with which a fall of a domain's demand is followed; a rise is followed at once. Bounded steps move half of
/// the objects in about 30 s, so that demand which oscillates faster would rise again before they are away. With 30 s,
/// swings of 55% over 36 s lose 0.4% of the requests at a load of 0.8 against placement by number; with 120 s, 0.1%.
const FALL_TIME: Duration = Duration::from_mins(2);

/// Number of VMs of a domain by which the time between two steps grows by one round. It bounds the bytes that the leader
/// of a large domain sends.
const VMS_PER_STEP_ROUND: usize = 24;

/// Steps after which unchanged fractions are told again.
const STEPS_PER_REPEAT: u32 = 3;

/// Change of the own domain's fraction that is logged.
const NOTABLE_CHANGE: f64 = 0.1;

/// Capacity of one service by failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// The service.
    pub service: ServiceName,
    /// Slots of the servers that take requests.
    pub slots: BTreeMap<DomainName, f64>,
    /// Fractions of first choices in force.
    pub first_choices: BTreeMap<DomainName, f64>,
}

/// What a VM knows about the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDemandView {
    /// Live VMs by domain, this VM included.
    pub alive: BTreeMap<DomainName, BTreeSet<VmName>>,
    /// Sum of the sizes of the listed VMs, by domain.
    pub listed: BTreeMap<DomainName, f64>,
    /// Capacity of each service.
    pub services: Vec<ServiceCapacity>,
}

/// Result of one round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandRound {
    /// Messages to send.
    pub out: Vec<(VmName, DemandMsg)>,
    /// Whether the fractions changed.
    pub changed: bool,
}

/// Demand by failure domain as far as this VM knows it, and the fractions of its objects' first choices by domain.
#[derive(Debug)]
pub struct DemandDistribution {
    vm: VmName,
    domain: DomainName,
    regions: BTreeMap<DomainName, RegionName>,
    samples: HashMap<VmName, (Instant, Demands)>,
    totals: BTreeMap<DomainName, (Instant, Demands)>,
    fractions: Fractions,
    /// Own domain's fractions that were logged last.
    logged: BTreeMap<ServiceName, f64>,
    /// Live VMs of the own domain at the last round.
    mates: BTreeSet<VmName>,
    leader_heard_at: Option<Instant>,
    /// When this VM started or returned from a pause.
    started_at: Instant,
    last_round_at: Option<Instant>,
    rounds: u32,
    steps: u32,
}

impl DemandDistribution {
    /// Time between two rounds, and thus between two steps at most.
    pub const ROUND: Duration = Duration::from_secs(2);

    /// Creates the state of a VM in `domain` that has heard nothing.
    pub fn new(vm: VmName, domain: DomainName, regions: BTreeMap<DomainName, RegionName>, now: Instant) -> Self {
        Self {
            vm,
            domain,
            regions,
            samples: HashMap::new(),
            totals: BTreeMap::new(),
            fractions: BTreeMap::new(),
            logged: BTreeMap::new(),
            mates: BTreeSet::new(),
            leader_heard_at: None,
            started_at: now,
            last_round_at: None,
            rounds: 0,
            steps: 0,
        }
    }

    /// Replaces the regions of the domains.
    pub fn set_regions(&mut self, regions: BTreeMap<DomainName, RegionName>) {
        self.regions = regions;
    }

    /// Fractions of the first choices by service and domain; empty while only the distribution by number is known.
    pub fn fractions(&self) -> &BTreeMap<ServiceName, BTreeMap<DomainName, f64>> {
        &self.fractions
    }

    /// Demand of the domains that are known, in slots.
    pub fn totals(&self) -> impl Iterator<Item = (&DomainName, &BTreeMap<ServiceName, f64>)> {
        self.totals.iter().map(|(domain, (_, demand))| (domain, demand))
    }

    /// Whether this VM computes the fractions of its domain.
    pub fn is_leader(&self) -> bool {
        self.leader() == Some(&self.vm)
    }

    /// VM that computes the fractions of this VM's domain.
    pub fn leader(&self) -> Option<&VmName> {
        self.mates.first()
    }

    /// Handles a message of another VM; returns whether the fractions changed.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: &DemandMsg) -> bool {
        match msg {
            DemandMsg::Sample { demand, fractions } => {
                if !self.mates.contains(from) {
                    return false;
                }
                self.samples.insert(from.clone(), (now, decode_demand(demand)));
                let fractions = fractions.as_ref().filter(|_| self.fractions.is_empty());
                fractions.is_some_and(|fractions| self.adopt(fractions))
            }
            DemandMsg::Total { domain, demand } => {
                if *domain != self.domain && self.regions.contains_key(domain) {
                    self.totals.insert(domain.clone(), (now, decode_demand(demand)));
                }
                false
            }
            DemandMsg::Fractions(fractions) => {
                let is_from_leader = self.leader() == Some(from);
                let is_accepted =
                    self.fractions.is_empty() || is_from_leader || (!self.is_leader() && !self.hears_leader(now));
                if is_from_leader {
                    self.leader_heard_at = Some(now);
                }
                is_accepted && self.adopt(fractions)
            }
        }
    }

    fn adopt(&mut self, told: &DomainFractions) -> bool {
        let Some(fractions) = told.decode(&self.domain, &self.regions) else {
            return false;
        };
        let changed = self.fractions != fractions;
        self.fractions = fractions;
        changed
    }

    /// Time since the last round.
    pub fn since_round(&self, now: Instant) -> Duration {
        now - self.last_round_at.unwrap_or(self.started_at)
    }

    fn hears_leader(&self, now: Instant) -> bool {
        self.leader_heard_at.is_some_and(|at| now < at + LEADER_SILENCE)
    }

    /// Performs the periodic work, every [`ROUND`](Self::ROUND). `own` is the demand that this VM took.
    pub fn on_round(&mut self, now: Instant, own: &BTreeMap<ServiceName, f64>, fleet: &FleetDemandView) -> DemandRound {
        if self.last_round_at.is_some_and(|at| now >= at + LEADER_START) {
            // The domain may have moved on while this VM was paused.
            self.fractions.clear();
            self.started_at = now;
        }
        self.last_round_at = Some(now);
        self.rounds = self.rounds.wrapping_add(1);
        self.mates = fleet.alive.get(&self.domain).cloned().unwrap_or_default();
        self.mates.insert(self.vm.clone());
        self.samples.insert(self.vm.clone(), (now, own.clone()));
        let mates = &self.mates;
        self.samples
            .retain(|vm, (at, _)| now < *at + SAMPLE_AGE && mates.contains(vm));
        self.totals.retain(|_, (at, _)| now < *at + TOTAL_AGE);
        let mut round = DemandRound::default();
        self.send_sample(now, own, &mut round);
        if self.is_leader() {
            self.lead(now, fleet, &mut round);
        } else if self.mates.iter().nth(1) == Some(&self.vm) && !self.fractions.is_empty() {
            let leader = self.mates.first().cloned();
            round.out.extend(leader.map(|leader| (leader, self.fractions_msg())));
        }
        round
    }

    fn send_sample(&self, now: Instant, own: &Demands, round: &mut DemandRound) {
        let tells_fractions = !self.is_leader() && !self.hears_leader(now) && !self.fractions.is_empty();
        let sample = DemandMsg::Sample {
            demand: encode_demand(own),
            fractions: tells_fractions.then(|| DomainFractions::encode(&self.domain, &self.fractions, &self.regions)),
        };
        let to = self.mates.iter().take(2).filter(|vm| **vm != self.vm);
        round.out.extend(to.map(|vm| (vm.clone(), sample.clone())));
    }

    fn fractions_msg(&self) -> DemandMsg {
        DemandMsg::Fractions(DomainFractions::encode(&self.domain, &self.fractions, &self.regions))
    }

    /// Tells the demand of the domain to others and moves the fractions by one step.
    fn lead(&mut self, now: Instant, fleet: &FleetDemandView, round: &mut DemandRound) {
        let mut total = Demands::new();
        for (service, demand) in self.samples.values().flat_map(|(_, demand)| demand) {
            *total.entry(service.clone()).or_default() += demand;
        }
        // VMs that are not heard take as much as the others on average.
        let scale = self.mates.len() as f64 / self.samples.len().max(1) as f64;
        for demand in total.values_mut() {
            *demand *= scale;
        }
        if let Some((at, held)) = self.totals.get(&self.domain) {
            let kept = (-(now - *at).as_secs_f64() / FALL_TIME.as_secs_f64()).exp();
            for (service, demand) in &mut total {
                *demand = demand.max(held.get(service).copied().unwrap_or_default() * kept);
            }
        }
        let msg = DemandMsg::Total {
            domain: self.domain.clone(),
            demand: encode_demand(&total),
        };
        self.totals.insert(self.domain.clone(), (now, total));
        let index = self.rounds as usize % 2;
        for (_, vms) in fleet.alive.iter().filter(|(domain, _)| **domain != self.domain) {
            let to = vms.iter().nth(index).or_else(|| vms.first());
            round.out.extend(to.map(|vm| (vm.clone(), msg.clone())));
        }
        let step_rounds = 1 + (self.mates.len() / VMS_PER_STEP_ROUND) as u32;
        let is_starting = self.fractions.is_empty() && now < self.started_at + LEADER_START;
        if !self.rounds.is_multiple_of(step_rounds) || is_starting {
            return;
        }
        round.changed = self.step(fleet);
        self.steps = self.steps.wrapping_add(1);
        if !self.fractions.is_empty() && (round.changed || self.steps.is_multiple_of(STEPS_PER_REPEAT)) {
            let msg = self.fractions_msg();
            let others = self.mates.iter().filter(|vm| **vm != self.vm);
            round.out.extend(others.map(|vm| (vm.clone(), msg.clone())));
        }
    }

    fn step(&mut self, fleet: &FleetDemandView) -> bool {
        let mut next = Fractions::new();
        let own = self.totals.get(&self.domain).map(|(_, demand)| encode_demand(demand));
        let told = own.unwrap_or_default().into_iter().map(|(service, _)| service);
        // Services that have fractions keep them when others have more demand.
        let held = self.fractions.keys().cloned();
        for service in held.chain(told) {
            if next.len() == MAX_SERVICES || next.contains_key(&service) {
                continue;
            }
            let Some(capacity) = fleet.services.iter().find(|capacity| capacity.service == service) else {
                continue;
            };
            let demand = self.demand_by_domain(&service, &fleet.listed);
            let from = self.fractions.get(&service).unwrap_or(&capacity.first_choices);
            let to = target_fractions(&self.domain, &demand, &capacity.slots, &self.regions);
            let stepped = to.and_then(|to| next_step(from, &to, &self.regions));
            next.insert(service, stepped.unwrap_or_else(|| from.clone()));
        }
        // The leader uses the same rounded figures as the VMs that it tells.
        let told = DomainFractions::encode(&self.domain, &next, &self.regions);
        self.adopt(&told)
    }

    /// Demand for a service by domain; a domain that is not heard takes as much for the size of its VMs as the others on
    /// average.
    fn demand_by_domain(&self, service: &ServiceName, listed: &BTreeMap<DomainName, f64>) -> BTreeMap<DomainName, f64> {
        let size = |domain: &DomainName| listed.get(domain).copied().unwrap_or_default();
        let known = |domain: &DomainName| {
            let (_, demand) = self.totals.get(domain)?;
            Some(demand.get(service).copied().unwrap_or_default())
        };
        let (demand, sizes) = self.totals.keys().fold((0.0, 0.0), |(demand, sizes), domain| {
            (demand + known(domain).unwrap_or_default(), sizes + size(domain))
        });
        let mean = if sizes > 0.0 { demand / sizes } else { 0.0 };
        let domains = self.regions.keys();
        domains
            .map(|domain| (domain.clone(), known(domain).unwrap_or_else(|| size(domain) * mean)))
            .collect()
    }

    /// Returns the services whose fraction for the own domain has changed notably since the last call that returned
    /// them, with the previous fraction, if any, and the present one.
    pub fn take_notable_changes(&mut self) -> Vec<(ServiceName, Option<f64>, f64)> {
        let mut out = Vec::new();
        for (service, fractions) in &self.fractions {
            let own = fractions.get(&self.domain).copied().unwrap_or_default();
            let before = self.logged.get(service).copied();
            if before.is_none_or(|before| (own - before).abs() >= NOTABLE_CHANGE) {
                self.logged.insert(service.clone(), own);
                out.push((service.clone(), before, own));
            }
        }
        out
    }
}
