mod slot_ownership;
mod slot_row;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use arcstr::ArcStr;
use mh_budget::{Answer, Budget, BudgetHolder, BudgetName, LendingSettings, Limiter, Msg, Outgoing, Slots, VmIdentity};
use mh_config::{CompiledOrg, Snapshot};
use mh_sync::Mutex;
use mh_types::{DomainName, Incarnation, OrgName, VmName};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::VmSettings;

/// Minimum time between two ticks of the budget holders.
pub(crate) const HOLDER_TICK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// Shares of the organisations' rate and burst allowances that this VM holds.
#[derive(Debug)]
pub(crate) struct Allowances {
    identity: Arc<VmIdentity>,
    lending: Arc<LendingSettings>,
    state: Mutex<State>,
    /// Wakes the slot loop after a settings change, so that the slots of a new organisation are claimed without delay.
    pub(crate) orgs_changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    allowances: HashMap<OrgName, OrgAllowance>,
    domains: Vec<DomainName>,
    /// Row prefixes of the divisions in which this process has owned slots before. A slot that it adopts there again
    /// does not start with a full burst a second time.
    previously_owned_divisions: HashSet<ArcStr>,
}

/// This VM's share of one organisation's allowance.
#[derive(Debug)]
struct OrgAllowance {
    holder: BudgetHolder,
    /// Prefix of the rows that hold the slot owners. It identifies the division of the allowance into slots, which
    /// depends on the burst and the number of failure domains.
    division_prefix: ArcStr,
    /// Slots that the holder has adopted. Later reads of the rows confirm them instead of adopting them again.
    adopted_slots: Slots,
}

impl Allowances {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation) -> Self {
        let identity = VmIdentity {
            vm: cfg.vm.clone(),
            domain: cfg.domain.clone(),
            incarnation,
        };
        Self {
            identity: Arc::new(identity),
            lending: Arc::new(LendingSettings::default()),
            state: Mutex::default(),
            orgs_changed: Notify::new(),
        }
    }

    /// Updates the shares to the organisations of a settings revision, and returns the limiters for requests.
    pub(crate) fn sync(&self, snapshot: &Snapshot) -> HashMap<OrgName, Limiter> {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.domains = snapshot.regions.keys().cloned().collect();
        state.domains.sort_unstable();
        state.allowances.retain(|name, _| snapshot.orgs.contains_key(name));
        for org in snapshot.orgs.values() {
            self.sync_org(&mut state, now, org);
        }
        self.orgs_changed.notify_one();
        state
            .allowances
            .iter()
            .map(|(name, allowance)| (name.clone(), allowance.holder.limiter().clone()))
            .collect()
    }

    fn sync_org(&self, state: &mut State, now: Instant, org: &CompiledOrg) {
        let name: BudgetName = org.name.as_str().into();
        // The ranges of the settings are within those of the budget, so no valid settings fail here; if one does, the
        // organisation stays unchanged.
        let Ok(budget) = Budget::new(name, org.rate_per_second, f64::from(org.burst)) else {
            return;
        };
        let division_prefix = slot_row::division_prefix(&org.name, state.domains.len(), org.burst);
        match state.allowances.get_mut(&org.name) {
            Some(allowance) if allowance.division_prefix == division_prefix => {
                if *allowance.holder.budget().as_ref() != budget {
                    allowance.holder.set_budget(now, Arc::new(budget));
                }
            }
            _ => {
                let domains = state.domains.len().max(1) as u16;
                let (identity, lending) = (Arc::clone(&self.identity), Arc::clone(&self.lending));
                let spread = stable_hash(&(self.identity.vm.as_str(), org.name.as_str()));
                let holder = BudgetHolder::new(now, identity, Arc::new(budget), lending, domains, spread);
                state.allowances.insert(
                    org.name.clone(),
                    OrgAllowance {
                        holder,
                        division_prefix,
                        adopted_slots: Slots::default(),
                    },
                );
            }
        }
    }

    /// Runs the holders' due timers and returns the messages to send.
    pub(crate) fn tick(&self) -> Vec<Outgoing> {
        let now = Instant::now();
        self.state
            .lock()
            .allowances
            .values_mut()
            .flat_map(|allowance| allowance.holder.on_tick(now))
            .collect()
    }

    /// Handles messages from a peer and returns the messages to send.
    pub(crate) fn on_msgs(&self, from: &VmName, msgs: &[Msg]) -> Vec<Outgoing> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut out = Vec::new();
        for msg in msgs {
            if let Some(allowance) = state.allowances.get_mut(msg.budget.as_str()) {
                out.extend(allowance.holder.on_msg(now, from, msg));
            }
        }
        out
    }

    /// Decides whether to admit a request on behalf of another VM; `None` for an unknown organisation.
    pub(crate) fn decide_for_peer(&self, org: &OrgName, tokens: u32) -> Option<Answer> {
        let limiter = self.state.lock().allowances.get(org)?.holder.limiter().clone();
        Some(limiter.decide_for_peer(Instant::now, tokens))
    }

    /// Returns the shares of each organisation as numbers of burst tokens, for the state dump.
    pub(crate) fn view(&self) -> serde_json::Value {
        let state = self.state.lock();
        let burst_tokens = |share: mh_budget::Share| share.0 as f64 / mh_budget::MICROTOKENS_PER_TOKEN as f64;
        let allowances = state.allowances.iter().map(|(name, allowance)| {
            let holder = &allowance.holder;
            let view = serde_json::json!({
                "undivided": holder.division().is_undivided(),
                "slots_owned": holder.owned().iter().count(),
                "burst_usable": burst_tokens(holder.usable_share()),
                "burst_lent": burst_tokens(holder.lent_share()),
                "burst_borrowed": burst_tokens(holder.borrowed_share()),
                "standing": format!("{:?}", holder.slot_access()),
            });
            (name.to_string(), view)
        });
        allowances.collect::<BTreeMap<_, _>>().into_iter().collect()
    }
}

/// Returns a hash that is the same on every VM.
fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
