mod rows;
mod slot_row;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};

use arcstr::ArcStr;
use mh_budget::{Answer, Budget, BudgetName, Holder, LendingSettings, Limiter, Msg, Outgoing, Slots, VmIdentity};
use mh_config::{CompiledOrg, Snapshot};
use mh_types::{DomainName, Incarnation, OrgName, VmName};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::VmSettings;
use crate::node::lock;

/// Shortest time between two ticks of the holders.
pub(crate) const TICK: std::time::Duration = std::time::Duration::from_millis(100);

/// This VM's parts of the organisations' rates and bursts.
#[derive(Debug)]
pub(crate) struct Allowances {
    me: Arc<VmIdentity>,
    lending: Arc<LendingSettings>,
    state: Mutex<State>,
    /// Signals that an organisation is new, so that its slots are claimed without delay.
    pub(crate) changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    parts: HashMap<OrgName, Part>,
    domains: Vec<DomainName>,
    /// Cuts that this process has owned slots of before; their slots hold no fresh burst a second time.
    used: HashSet<ArcStr>,
}

/// This VM's part of one organisation's allowance.
#[derive(Debug)]
struct Part {
    holder: Holder,
    /// Prefix of the rows that say who owns the slots; it names the cut, which the burst and the domains determine.
    prefix: ArcStr,
    adopted: Slots,
}

impl Allowances {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation) -> Self {
        let me = VmIdentity {
            vm: cfg.vm.clone(),
            domain: cfg.domain.clone(),
            incarnation,
        };
        Self {
            me: Arc::new(me),
            lending: Arc::new(LendingSettings::default()),
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Takes in the organisations of a settings revision, and returns what requests use.
    pub(crate) fn sync(&self, snapshot: &Snapshot) -> HashMap<OrgName, Limiter> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.domains = snapshot.regions.keys().cloned().collect();
        state.domains.sort_unstable();
        state.parts.retain(|name, _| snapshot.orgs.contains_key(name));
        for org in snapshot.orgs.values() {
            self.sync_org(&mut state, now, org);
        }
        self.changed.notify_one();
        state
            .parts
            .iter()
            .map(|(name, part)| (name.clone(), part.holder.limiter().clone()))
            .collect()
    }

    fn sync_org(&self, state: &mut State, now: Instant, org: &CompiledOrg) {
        let name: BudgetName = org.name.as_str().into();
        // The settings' ranges are within the budget's, so a failure leaves the organisation as it was.
        let Ok(budget) = Budget::new(name, org.rate_per_second, f64::from(org.burst)) else {
            return;
        };
        let prefix = slot_row::prefix(&org.name, state.domains.len(), org.burst);
        match state.parts.get_mut(&org.name) {
            Some(part) if part.prefix == prefix => {
                if *part.holder.budget().as_ref() != budget {
                    part.holder.set_budget(now, Arc::new(budget));
                }
            }
            _ => {
                let domains = state.domains.len().max(1) as u16;
                let (me, lending) = (Arc::clone(&self.me), Arc::clone(&self.lending));
                let spread = hash(&(self.me.vm.as_str(), org.name.as_str()));
                let holder = Holder::new(now, me, Arc::new(budget), lending, domains, spread);
                state.parts.insert(
                    org.name.clone(),
                    Part {
                        holder,
                        prefix,
                        adopted: Slots::default(),
                    },
                );
            }
        }
    }

    /// Does what is due and returns the messages to send.
    pub(crate) fn tick(&self) -> Vec<Outgoing> {
        let now = Instant::now();
        lock(&self.state)
            .parts
            .values_mut()
            .flat_map(|part| part.holder.on_tick(now))
            .collect()
    }

    /// Takes in messages from a peer and returns the answers.
    pub(crate) fn on_msgs(&self, from: &VmName, msgs: &[Msg]) -> Vec<Outgoing> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let mut out = Vec::new();
        for msg in msgs {
            if let Some(part) = state.parts.get_mut(msg.budget.as_str()) {
                out.extend(part.holder.on_msg(now, from, msg));
            }
        }
        out
    }

    /// Decides about a request for which another VM asks; `None` for an unknown organisation.
    pub(crate) fn decide_for_peer(&self, org: &OrgName, tokens: u32) -> Option<Answer> {
        let limiter = lock(&self.state).parts.get(org)?.holder.limiter().clone();
        Some(limiter.decide_for_peer(Instant::now, tokens))
    }

    /// Shares of each organisation, in parts of its burst, for the dump.
    pub(crate) fn view(&self) -> serde_json::Value {
        let state = lock(&self.state);
        let burst = |share: mh_budget::Share| share.0 as f64 / mh_budget::MICROS_PER_TOKEN as f64;
        let parts = state.parts.iter().map(|(name, part)| {
            let holder = &part.holder;
            let view = serde_json::json!({
                "undivided": holder.division().is_undivided(),
                "slots_owned": holder.owned().iter().count(),
                "burst_usable": burst(holder.usable_share()),
                "burst_lent": burst(holder.lent_share()),
                "burst_borrowed": burst(holder.borrowed_share()),
                "standing": format!("{:?}", holder.standing()),
            });
            (name.to_string(), view)
        });
        parts.collect::<BTreeMap<_, _>>().into_iter().collect()
    }
}

/// A hash that every VM computes alike.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
