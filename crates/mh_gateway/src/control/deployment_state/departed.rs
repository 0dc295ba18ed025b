use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Largest number of entries that are remembered.
const MAX_ENTRIES: usize = 4096;

/// Bounded memory of entries that were removed, each with its last state.
#[derive(Debug)]
pub(super) struct Departed<K, V> {
    last_states: HashMap<K, V>,
    /// Keys in the order of their removal, possibly repeated.
    order: VecDeque<K>,
}

impl<K, V> Default for Departed<K, V> {
    fn default() -> Self {
        Self {
            last_states: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, V> Departed<K, V> {
    pub(super) fn insert(&mut self, key: K, last_state: V) {
        if self.last_states.insert(key.clone(), last_state).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > MAX_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.last_states.remove(&oldest);
            }
        }
    }

    pub(super) fn remove(&mut self, key: &K) {
        self.last_states.remove(key);
    }

    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.last_states.get(key)
    }
}
