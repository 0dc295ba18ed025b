use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Set of positions in the member list of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BitSet(SmallVec<[u64; 1]>);

impl BitSet {
    const WORD_BITS: usize = u64::BITS as usize;

    /// Adds `position`.
    pub fn insert(&mut self, position: usize) {
        let word = position / Self::WORD_BITS;
        if word >= self.0.len() {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (position % Self::WORD_BITS);
    }

    pub(crate) fn words(&self) -> &[u64] {
        &self.0
    }

    pub(crate) fn from_words(words: SmallVec<[u64; 1]>) -> Self {
        Self(words)
    }

    /// Number of positions in the set.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// The positions, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(i, &word)| {
            (0..Self::WORD_BITS)
                .filter(move |bit| word >> bit & 1 == 1)
                .map(move |bit| i * Self::WORD_BITS + bit)
        })
    }
}
