use tokio::time::Instant;

use super::{BudgetHolder, Outbox};
use crate::budget::MICROTOKENS_PER_TOKEN;
use crate::{Adoption, Share, SlotAccess, Slots, TokenMove};

impl BudgetHolder {
    /// Starts to own `slots` after the conditional write of their table rows succeeded; returns whether they were
    /// adopted.
    ///
    /// `known_at` is when that write, or a later read that confirmed it, began. If that is longer ago than the pause
    /// limit, the slots are not adopted, because another VM may have taken them over since; the caller must read the
    /// rows again. An unlisted VM adopts nothing.
    ///
    /// Slots that were [`TakenOver`](Adoption::TakenOver) are used only after
    /// [`LendingSettings::takeover_wait`](crate::LendingSettings::takeover_wait).
    pub fn adopt_slots(&mut self, now: Instant, known_at: Instant, slots: &Slots, adoption: Adoption) -> bool {
        self.advance(now);
        let is_fresh = now.saturating_duration_since(known_at) < self.settings.pause_limit;
        if !is_fresh || self.slot_access == SlotAccess::Unlisted {
            return false;
        }
        // Slots that were to be handed over stay.
        self.releasing.retain(|slot| !slots.contains(slot));
        if adoption == Adoption::TakenOver {
            self.takeover_waits
                .push((slots.clone(), now + self.settings.takeover_wait()));
            return true;
        }
        self.owned.insert_all(slots);
        let tokens = match adoption {
            Adoption::New => TokenMove::Add(self.slots_share(slots).0),
            _ => TokenMove::Keep,
        };
        self.update_meter(now, tokens);
        self.refresh_fallback(now);
        true
    }

    /// Stops using `slots` and lending them, so that they can be handed over.
    ///
    /// The caller must not write their table rows before [`poll_released`](Self::poll_released) has returned them.
    pub fn release_slots(&mut self, now: Instant, slots: &Slots) {
        self.advance(now);
        let mut releasing = self.releasing.clone();
        releasing.insert_all(slots);
        releasing.retain(|slot| self.owned.contains(slot));
        self.releasing = releasing;
        self.takeover_waits
            .iter_mut()
            .for_each(|(waiting, _)| waiting.retain(|slot| !slots.contains(slot)));
        self.update_meter(now, TokenMove::Keep);
    }

    /// Returns the released slots once the remaining slots cover all loans; this VM no longer owns them from then on.
    pub fn poll_released(&mut self, now: Instant) -> Option<Slots> {
        self.advance(now);
        if self.releasing.is_empty() || self.lent_share() > self.kept_share() {
            return None;
        }
        let released = std::mem::take(&mut self.releasing);
        self.owned.retain(|slot| !released.contains(slot));
        Some(released)
    }

    /// Updates whether the platform's list of VMs contains this VM.
    ///
    /// An unlisted VM drops its slots, because others may take them over, and returns its loans. When it is listed
    /// again, it must adopt slots again, as [`TakenOver`](Adoption::TakenOver).
    pub fn on_listed(&mut self, now: Instant, listed: bool) -> Outbox {
        self.advance(now);
        let mut out = Outbox::new();
        if listed && self.slot_access == SlotAccess::Unlisted {
            self.slot_access = SlotAccess::Listed;
        } else if !listed && self.slot_access != SlotAccess::Unlisted {
            self.slot_access = SlotAccess::Unlisted;
            self.owned = Slots::default();
            self.releasing = Slots::default();
            self.takeover_waits.clear();
            self.return_all(now, &mut out);
            self.update_meter(now, TokenMove::Keep);
        }
        out
    }

    /// Ends [`Unconfirmed`](SlotAccess::Unconfirmed) after a read of the rows that began at `read_at`; `still_owned`
    /// are exactly the slots whose rows are as this VM adopted them. A read that began before the pause was detected is
    /// ignored.
    pub fn confirm(&mut self, now: Instant, read_at: Instant, still_owned: &Slots) {
        self.advance(now);
        if self.slot_access != SlotAccess::Unconfirmed || read_at < self.pause_noticed_at {
            return;
        }
        self.slot_access = SlotAccess::Listed;
        self.owned.retain(|slot| still_owned.contains(slot));
        self.releasing.retain(|slot| still_owned.contains(slot));
        self.takeover_waits
            .iter_mut()
            .for_each(|(slots, _)| slots.retain(|slot| still_owned.contains(slot)));
        self.update_meter(now, TokenMove::Keep);
    }

    pub(super) fn end_takeover_waits(&mut self, now: Instant) -> bool {
        let before = self.takeover_waits.len();
        let owned = &mut self.owned;
        self.takeover_waits.retain(|(slots, until)| {
            if now < *until {
                return true;
            }
            owned.insert_all(slots);
            false
        });
        self.takeover_waits.len() != before
    }

    /// Share of the owned slots that are not being released.
    pub(super) fn kept_share(&self) -> Share {
        self.slots_share(&self.owned).minus(self.slots_share(&self.releasing))
    }

    fn slots_share(&self, slots: &Slots) -> Share {
        slots.share(&self.budget, self.division)
    }

    /// Share of the owned slots that this VM may use itself.
    pub(super) fn own_share(&self) -> Share {
        match self.slot_access {
            SlotAccess::Listed => self.kept_share().minus(self.lent_share()),
            SlotAccess::Unconfirmed | SlotAccess::Unlisted => Share::EMPTY,
        }
    }

    /// Whether the budget is undivided and this VM owns its only slot or is taking it over.
    pub(super) fn owns_undivided_budget(&self) -> bool {
        self.division.is_undivided() && !self.owns_no_slots()
    }

    /// Number of whole tokens in `microtokens`.
    pub(super) fn whole_tokens(microtokens: u64) -> u64 {
        microtokens / MICROTOKENS_PER_TOKEN
    }
}
