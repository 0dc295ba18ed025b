use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use mh_budget::{Adoption, Owner, Owners, Slots};
use mh_platform::{Commit, Expect, ListedVm, Row, Write};
use mh_types::{Incarnation, OrgName, VmName};
use tokio::time::Instant;

use super::slot_row::{BUDGETS_PREFIX, SlotOwner, SlotRow, org_prefix, row_path};
use super::{Allowances, OrgAllowance, State, stable_hash};
use crate::Node;
use crate::absence_tracker::AbsenceTracker;

/// Mean time between two reads of the slot rows.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Rows per list request.
const PAGE_ROWS: u32 = 500;
/// Format number of a slot row.
const ROW_FORMAT: u32 = 1;

/// Slot rows and VM list of one reconciliation.
struct OwnershipInputs {
    rows: BTreeMap<String, Row>,
    read_at: Instant,
    /// VMs that the platform lists, with the incarnation of their process where it is known.
    listed: Vec<(ListedVm, Option<Incarnation>)>,
    absence: AbsenceTracker,
}

impl Allowances {
    /// Reconciles slot ownership with the table's rows until the process ends.
    pub(crate) async fn run_slot_loop(node: Arc<Node>) {
        let mut absence = AbsenceTracker::default();
        loop {
            let read_at = Instant::now();
            if let Ok(rows) = node.read_slot_rows().await {
                let listed = node.listed_vms();
                absence.record_listed(listed.iter().map(|(vm, _)| &vm.name), node.list_lag(), read_at);
                let inputs = OwnershipInputs {
                    rows,
                    read_at,
                    listed,
                    absence,
                };
                let writes = node.allowances.reconcile(&inputs);
                absence = inputs.absence;
                let has_writes = !writes.is_empty();
                for write in writes {
                    // After a conflict, the next read returns the row that the other VM wrote.
                    let _ = node.store.table.commit(&Commit::new().with(write)).await;
                }
                if has_writes {
                    continue;
                }
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL.mul_f64(rand::random_range(0.8..1.2))) => {}
                () = node.allowances.orgs_changed.notified() => {}
            }
        }
    }

    /// Adopts the slots that the rows assign to this VM, and returns the rows to write.
    fn reconcile(&self, inputs: &OwnershipInputs) -> Vec<Write> {
        let mut state = self.state.lock();
        let names: Vec<OrgName> = state.allowances.keys().cloned().collect();
        names
            .iter()
            .filter_map(|name| self.reconcile_org(&mut state, name, inputs))
            .collect()
    }

    fn reconcile_org(&self, state: &mut State, name: &OrgName, inputs: &OwnershipInputs) -> Option<Write> {
        let domain_index = state
            .domains
            .iter()
            .position(|domain| *domain == self.identity.domain)
            .unwrap_or(usize::MAX);
        let State {
            allowances,
            previously_owned_divisions,
            ..
        } = state;
        let allowance = allowances.get_mut(name)?;
        let undivided = allowance.holder.division().is_undivided();
        let own_domain = (!undivided).then_some(&self.identity.domain);
        let path = row_path(&allowance.division_prefix, own_domain);
        let slot_numbers = if undivided {
            0..1
        } else {
            allowance.holder.division().slots_of_domain(domain_index as u16)
        };
        Self::update_owners(allowance, inputs);
        let candidates = self.candidates(name, undivided, inputs);
        let Some(row) = inputs.rows.get(&path) else {
            return self.create_row(name, allowance, &path, slot_numbers.len(), &candidates, inputs);
        };
        let Ok(found) = serde_json::from_str::<SlotRow>(&row.value) else {
            return None;
        };
        let was_owned_before = previously_owned_divisions.contains(&allowance.division_prefix);
        let is_own = |owner: &SlotOwner| owner.vm == self.identity.vm && owner.incarnation == self.identity.incarnation;
        self.adopt(allowance, &found, slot_numbers, was_owned_before, inputs.read_at);
        if found.slots.iter().any(is_own) {
            previously_owned_divisions.insert(allowance.division_prefix.clone());
        }
        let next = SlotRow {
            format: ROW_FORMAT,
            slots: found
                .slots
                .iter()
                .map(|o| self.next_owner(o, &candidates, inputs))
                .collect(),
        };
        let value = serde_json::to_string(&next).ok()?;
        (next != found).then(|| Write::set(path, value, Expect::Version(row.version)))
    }

    fn update_owners(allowance: &mut OrgAllowance, inputs: &OwnershipInputs) {
        let rows = inputs
            .rows
            .range(allowance.division_prefix.to_string()..)
            .take_while(|(path, _)| path.starts_with(allowance.division_prefix.as_str()));
        let decoded = rows.filter_map(|(_, row)| serde_json::from_str::<SlotRow>(&row.value).ok());
        let mut slot_owners: Vec<Owner> = Vec::new();
        for slot_owner in decoded.flat_map(|row| row.slots) {
            if slot_owners.iter().all(|known| known.vm != slot_owner.vm) {
                slot_owners.push(Owner {
                    vm: slot_owner.vm,
                    domain: slot_owner.domain,
                });
            }
        }
        allowance
            .holder
            .set_owners(Instant::now(), Arc::new(slot_owners.into_iter().collect::<Owners>()));
    }

    /// Returns the VMs that may own slots of the row; the first one is responsible for writing the row.
    fn candidates(&self, org: &OrgName, undivided: bool, inputs: &OwnershipInputs) -> Vec<SlotOwner> {
        let is_eligible = |vm: &ListedVm| undivided || vm.domain == self.identity.domain;
        let known = inputs
            .listed
            .iter()
            .filter(|(vm, _)| is_eligible(vm))
            .filter_map(|(vm, incarnation)| {
                let incarnation = if vm.name == self.identity.vm {
                    Some(self.identity.incarnation)
                } else {
                    *incarnation
                };
                Some(SlotOwner {
                    vm: vm.name.clone(),
                    domain: vm.domain.clone(),
                    incarnation: incarnation?,
                    adoption: Adoption::New,
                })
            });
        let mut candidates: Vec<SlotOwner> = known.collect();
        // The order differs between organisations, so that small organisations have different owners.
        candidates.sort_by_key(|owner| stable_hash(&(org.as_str(), owner.vm.as_str())));
        candidates
    }

    fn create_row(
        &self,
        org: &OrgName,
        allowance: &OrgAllowance,
        path: &str,
        slots: usize,
        candidates: &[SlotOwner],
        inputs: &OwnershipInputs,
    ) -> Option<Write> {
        if candidates.first()?.vm != self.identity.vm || slots == 0 {
            return None;
        }
        // Other VMs may still use another division of the same allowance. `TakenOver` makes the owners of the new one
        // wait until those VMs have stopped using the old one.
        let has_other_division = inputs
            .rows
            .range(org_prefix(org)..)
            .take_while(|(path, _)| path.starts_with(&org_prefix(org)))
            .any(|(path, _)| !path.starts_with(allowance.division_prefix.as_str()));
        let adoption = if has_other_division {
            Adoption::TakenOver
        } else {
            Adoption::New
        };
        let slots = candidates
            .iter()
            .cycle()
            .take(slots)
            .map(|owner| SlotOwner {
                adoption,
                ..owner.clone()
            })
            .collect();
        let value = serde_json::to_string(&SlotRow {
            format: ROW_FORMAT,
            slots,
        })
        .ok()?;
        Some(Write::set(path, value, Expect::Absent))
    }

    fn adopt(
        &self,
        allowance: &mut OrgAllowance,
        row: &SlotRow,
        slot_numbers: Range<u16>,
        was_owned_before: bool,
        read_at: Instant,
    ) {
        let now = Instant::now();
        let own_slots = || {
            let owned = slot_numbers.clone().zip(&row.slots);
            owned.filter(|(_, owner)| owner.vm == self.identity.vm && owner.incarnation == self.identity.incarnation)
        };
        let still_owned: Slots = own_slots()
            .map(|(number, _)| number)
            .filter(|n| allowance.adopted_slots.contains(*n))
            .collect();
        allowance.holder.confirm(now, read_at, &still_owned);
        for adoption in [Adoption::New, Adoption::HandedOver, Adoption::TakenOver] {
            let adoption_of = |owner: &SlotOwner| {
                if was_owned_before {
                    Adoption::TakenOver
                } else {
                    owner.adoption
                }
            };
            let new: Slots = own_slots()
                .filter(|(number, owner)| adoption_of(owner) == adoption && !allowance.adopted_slots.contains(*number))
                .map(|(number, _)| number)
                .collect();
            if !new.is_empty() && allowance.holder.adopt_slots(now, read_at, &new, adoption) {
                allowance.adopted_slots = allowance.adopted_slots.iter().chain(new.iter()).collect();
            }
        }
    }

    /// Returns the owner that the slot should have.
    ///
    /// This VM takes over the slots of its own earlier incarnations and, as the first candidate, those of removed VMs.
    fn next_owner(&self, owner: &SlotOwner, candidates: &[SlotOwner], inputs: &OwnershipInputs) -> SlotOwner {
        let own_slot = |adoption| SlotOwner {
            vm: self.identity.vm.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            adoption,
        };
        if owner.vm == self.identity.vm && owner.incarnation < self.identity.incarnation {
            return own_slot(Adoption::TakenOver);
        }
        let is_first_candidate = candidates.first().is_some_and(|first| first.vm == self.identity.vm);
        if is_first_candidate && inputs.absence.is_removed(&owner.vm, inputs.read_at) {
            return own_slot(Adoption::TakenOver);
        }
        owner.clone()
    }

    /// Handles a read of the platform's VM list, which contains this VM if `is_listed` is `true`.
    pub(crate) fn on_vm_list(&self, is_listed: bool) -> Vec<mh_budget::Outgoing> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut out = Vec::new();
        for allowance in state.allowances.values_mut() {
            out.extend(allowance.holder.on_listed(now, is_listed));
            if !is_listed {
                allowance.adopted_slots = Slots::default();
            }
        }
        out
    }
}

impl Node {
    async fn read_slot_rows(&self) -> mh_platform::Result<BTreeMap<String, Row>> {
        let mut rows = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.store.table.list(BUDGETS_PREFIX, &after, PAGE_ROWS).await?;
            let is_last = page.len() < PAGE_ROWS as usize;
            after = page.last().map_or(after, |row| row.path.clone());
            rows.extend(page.into_iter().map(|row| (row.path.clone(), row)));
            if is_last {
                return Ok(rows);
            }
        }
    }

    fn listed_vms(&self) -> Vec<(ListedVm, Option<Incarnation>)> {
        let peers = self.peers.lock();
        let incarnation_of = |name: &VmName| peers.heartbeats.get(name).map(|heartbeat| heartbeat.incarnation);
        peers
            .listing
            .vms
            .iter()
            .map(|vm| (vm.clone(), incarnation_of(&vm.name)))
            .collect()
    }

    /// Returns the maximum lag of the platform's VM list.
    pub(crate) fn list_lag(&self) -> Duration {
        Duration::from_millis(self.peers.lock().listing.lag_ms)
    }
}
