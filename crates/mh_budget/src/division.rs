use std::ops::Range;

use crate::budget::MICROTOKENS_PER_TOKEN;
use crate::{Budget, Share};

/// Smallest burst of one slot, in tokens; in a smaller one, a fraction of a token that admits nothing makes up most of
/// the level.
pub const MIN_SLOT_BURST_TOKENS: u64 = 4;

/// Maximum number of slots per failure domain.
pub const MAX_SLOTS_PER_DOMAIN: u16 = 8;

/// Division of a budget into slots, the units of ownership.
///
/// It depends only on the budget and the number of failure domains, so every VM computes the same division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// The burst is too small to divide: slot 0 is the whole budget, its owner decides and the other VMs ask it.
    Undivided,
    /// Every failure domain has the same number of slots.
    Divided {
        /// Number of failure domains.
        domains: u16,
        /// Slots of each domain.
        per_domain: u16,
    },
}

impl Division {
    /// Divides `budget` over `domains` failure domains.
    pub fn of(budget: &Budget, domains: u16) -> Self {
        let domains = domains.max(1);
        let per_domain =
            budget.burst_microtokens() / (MIN_SLOT_BURST_TOKENS * MICROTOKENS_PER_TOKEN * u64::from(domains));
        match per_domain {
            0 => Self::Undivided,
            n => Self::Divided {
                domains,
                per_domain: n.min(u64::from(MAX_SLOTS_PER_DOMAIN)) as u16,
            },
        }
    }

    /// Whether a single VM decides for all VMs.
    pub fn is_undivided(self) -> bool {
        self == Self::Undivided
    }

    /// Number of slots.
    pub fn slots(self) -> u16 {
        match self {
            Self::Undivided => 1,
            Self::Divided { domains, per_domain } => domains.saturating_mul(per_domain),
        }
    }

    /// Slots of the failure domain with this index; empty for an undivided budget, whose slot belongs to no domain.
    pub fn slots_of_domain(self, domain: u16) -> Range<u16> {
        match self {
            Self::Divided { domains, per_domain } if domain < domains => {
                let first = domain.saturating_mul(per_domain);
                first..first.saturating_add(per_domain)
            }
            _ => 0..0,
        }
    }

    /// Share of one slot; [`Share::EMPTY`] if the slot does not exist.
    ///
    /// The shares of all slots add up to the whole budget. Each has a whole number of tokens of burst, except for the
    /// last one, which also has the fraction that remains.
    pub fn share(self, budget: &Budget, slot: u16) -> Share {
        let count = u64::from(self.slots());
        let slot = u64::from(slot);
        let whole = budget.whole();
        let bound = |i: u64| {
            if i == count {
                whole
            } else {
                whole.scaled(i, count).whole_tokens()
            }
        };
        if slot < count {
            bound(slot + 1).minus(bound(slot))
        } else {
            Share::EMPTY
        }
    }
}
