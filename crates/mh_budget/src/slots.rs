use smallvec::SmallVec;

use crate::{Budget, Division, Share};

/// A set of slot numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Slots(SmallVec<[u16; 8]>);

impl Slots {
    /// Whether the set has no slot.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether `slot` is in the set.
    pub fn contains(&self, slot: u16) -> bool {
        self.0.contains(&slot)
    }

    /// The slot numbers, ascending.
    pub fn iter(&self) -> impl Iterator<Item = u16> + '_ {
        self.0.iter().copied()
    }

    /// Sum of the shares of `budget` of all slots in the set.
    pub fn share(&self, budget: &Budget, division: Division) -> Share {
        self.iter().map(|slot| division.share(budget, slot)).sum()
    }

    pub(crate) fn insert_all(&mut self, other: &Self) {
        *self = self.iter().chain(other.iter()).collect();
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(u16) -> bool) {
        self.0.retain(|slot| keep(*slot));
    }
}

impl FromIterator<u16> for Slots {
    fn from_iter<I: IntoIterator<Item = u16>>(iter: I) -> Self {
        let mut slots: SmallVec<[u16; 8]> = iter.into_iter().collect();
        slots.sort_unstable();
        slots.dedup();
        Self(slots)
    }
}
