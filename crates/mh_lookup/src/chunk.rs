use std::sync::Arc;

use crate::key::Key;

/// Parent index of a prefix that has no enclosing prefix in its chunk.
const NO_PARENT: u8 = u8::MAX;

/// An address prefix and its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prefix<K> {
    pub(crate) start: K,
    pub(crate) len: u8,
    pub(crate) value: u16,
}

impl<K: Key> Prefix<K> {
    pub(crate) fn contains(&self, key: K) -> bool {
        key.masked(self.len) == self.start
    }

    /// Returns the sort key of the prefix, which sorts an enclosing prefix before the prefixes inside it.
    pub(crate) fn sort_key(&self) -> (K, u8) {
        (self.start, self.len)
    }
}

/// A sorted run of prefixes, few enough to be indexed by one byte.
///
/// The starts are stored separately from the other fields, so that a binary search reads few cache lines. Clones share
/// the memory of both.
#[derive(Clone, Debug)]
pub(crate) struct Chunk<K> {
    starts: Arc<[K]>,
    entries: Arc<[PrefixEntry]>,
}

/// Fields of a prefix other than its start.
#[derive(Clone, Copy, Debug)]
struct PrefixEntry {
    value: u16,
    /// Index of the longest enclosing prefix in the chunk, or [`NO_PARENT`].
    parent: u8,
    len: u8,
}

impl<K: Key> Chunk<K> {
    /// Creates a chunk of `prefixes`, which must be sorted, free of duplicates, and at most 255.
    pub(crate) fn new(prefixes: &[Prefix<K>]) -> Self {
        let mut enclosing: Vec<u8> = Vec::new();
        let entry = |(i, prefix): (usize, &Prefix<K>)| {
            while enclosing
                .last()
                .is_some_and(|p| !prefixes[usize::from(*p)].contains(prefix.start))
            {
                enclosing.pop();
            }
            let parent = enclosing.last().copied().unwrap_or(NO_PARENT);
            enclosing.push(i as u8);
            PrefixEntry {
                value: prefix.value,
                parent,
                len: prefix.len,
            }
        };
        let entries = prefixes.iter().enumerate().map(entry).collect();
        Self {
            starts: prefixes.iter().map(|p| p.start).collect(),
            entries,
        }
    }

    /// Returns the value of the longest prefix in the chunk that contains `key`.
    pub(crate) fn find(&self, key: K) -> Option<u16> {
        let mut i = self.starts.partition_point(|start| *start <= key).checked_sub(1)?;
        loop {
            let entry = &self.entries[i];
            if key.masked(entry.len) == self.starts[i] {
                return Some(entry.value);
            }
            if entry.parent == NO_PARENT {
                return None;
            }
            i = usize::from(entry.parent);
        }
    }

    pub(crate) fn prefixes(&self) -> impl Iterator<Item = Prefix<K>> {
        let prefix = |(start, entry): (&K, &PrefixEntry)| Prefix {
            start: *start,
            len: entry.len,
            value: entry.value,
        };
        self.starts.iter().zip(self.entries.iter()).map(prefix)
    }

    pub(crate) fn first_sort_key(&self) -> Option<(K, u8)> {
        Some((*self.starts.first()?, self.entries.first()?.len))
    }

    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    pub(crate) fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.starts, &other.starts)
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        // Each `Arc` slice stores two reference counts before its items.
        size_of_val(&*self.starts) + size_of_val(&*self.entries) + 4 * size_of::<usize>()
    }
}
