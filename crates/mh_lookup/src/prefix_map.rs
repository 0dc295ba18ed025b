use smallvec::SmallVec;

use crate::chunk::{Chunk, Prefix};
use crate::key::Key;

/// Number of prefixes per chunk after a build.
///
/// A look-up searches the starts of the chunks, which stay in the CPU cache, and then one chunk, which usually misses
/// the cache. Smaller chunks make look-ups faster but changes slower, because each change copies the list of chunks.
const CHUNK_LEN: usize = 64;

/// Maximum number of prefixes per chunk; a change that exceeds it splits the chunk. Must be below 255, the index that
/// stands for "no parent".
const MAX_CHUNK_LEN: usize = 2 * CHUNK_LEN;

/// Number of chunk starts per index item.
const INDEX_STRIDE: usize = 64;

/// Map from address prefixes of one family to values, searched by longest prefix match.
///
/// The sorted prefixes are divided into chunks. A key is searched in the last chunk that starts at or before it. A
/// prefix of an earlier chunk that contains the key also contains the start of that chunk, so these enclosing prefixes
/// are stored per chunk.
///
/// `starts`, `chunks` and `enclosing` have one item per chunk. The enclosing prefixes are rarely read, so they are
/// stored separately.
#[derive(Clone, Debug)]
pub(crate) struct PrefixMap<K> {
    /// Every [`INDEX_STRIDE`]th item of `starts`, so that a search reads few cache lines of it.
    index: Vec<K>,
    /// Start of the first prefix of each chunk.
    starts: Vec<K>,
    chunks: Vec<Chunk<K>>,
    /// Prefixes of earlier chunks that contain the start of the chunk, the longest last.
    enclosing: Vec<EnclosingPrefixes<K>>,
}

type EnclosingPrefixes<K> = SmallVec<[Prefix<K>; 1]>;

impl<K: Key> PrefixMap<K> {
    /// Builds a map from prefixes in any order; of equal prefixes the last one is used.
    pub(crate) fn build(mut prefixes: Vec<Prefix<K>>) -> Self {
        prefixes.reverse();
        prefixes.sort_by_key(Prefix::sort_key);
        prefixes.dedup_by_key(|p| p.sort_key());

        let mut map = Self {
            index: Vec::new(),
            starts: Vec::new(),
            chunks: Vec::new(),
            enclosing: Vec::new(),
        };
        let mut enclosing: Vec<Prefix<K>> = Vec::new();
        for run in prefixes.chunks(CHUNK_LEN) {
            enclosing.retain(|p| p.contains(run[0].start));
            map.insert_chunk(map.chunks.len(), run, enclosing.iter().copied().collect());
            for prefix in run {
                while enclosing.last().is_some_and(|p| !p.contains(prefix.start)) {
                    enclosing.pop();
                }
                enclosing.push(*prefix);
            }
        }
        map.rebuild_index();
        map
    }

    /// Returns the value of the longest prefix that contains `key`.
    pub(crate) fn find(&self, key: K) -> Option<u16> {
        let from = self.index.partition_point(|start| *start <= key).checked_sub(1)? * INDEX_STRIDE;
        let stride = &self.starts[from..(from + INDEX_STRIDE).min(self.starts.len())];
        let i = from + stride.partition_point(|start| *start <= key) - 1;
        let found = self.chunks[i].find(key);
        found.or_else(|| {
            self.enclosing[i]
                .iter()
                .rev()
                .find(|p| p.contains(key))
                .map(|p| p.value)
        })
    }

    /// Returns a copy of the map in which the prefix `start`/`len` is set to `value`, or removed if `value` is `None`.
    pub(crate) fn with_prefix(&self, start: K, len: u8, value: Option<u16>) -> Self {
        let mut map = self.clone();
        let sort_key = (start, len);
        let at = self
            .chunks
            .partition_point(|c| c.first_sort_key().is_some_and(|k| k <= sort_key))
            .saturating_sub(1);
        let mut prefixes: Vec<Prefix<K>> = self.chunks.get(at).map_or_else(Vec::new, |c| c.prefixes().collect());
        let prefix = value.map(|value| Prefix { start, len, value });
        match (prefixes.binary_search_by_key(&sort_key, Prefix::sort_key), prefix) {
            (Ok(i), Some(prefix)) => prefixes[i] = prefix,
            (Ok(i), None) => drop(prefixes.remove(i)),
            (Err(i), Some(prefix)) => prefixes.insert(i, prefix),
            (Err(_), None) => return map,
        }

        // Later chunks that start inside the prefix list it among their enclosing prefixes.
        for i in at + 1..self.starts.len() {
            if self.starts[i].masked(len) != start {
                break;
            }
            let enclosing = &mut map.enclosing[i];
            enclosing.retain(|p| p.sort_key() != sort_key);
            if let Some(prefix) = prefix {
                let place = enclosing.partition_point(|p| p.sort_key() < sort_key);
                enclosing.insert(place, prefix);
            }
        }
        map.replace_chunk(at, &prefixes);
        map.rebuild_index();
        map
    }

    /// Replaces the chunk at `at` by `prefixes`, split into two chunks if they exceed [`MAX_CHUNK_LEN`].
    fn replace_chunk(&mut self, at: usize, prefixes: &[Prefix<K>]) {
        let mut inherited = EnclosingPrefixes::new();
        if at < self.chunks.len() {
            self.starts.remove(at);
            self.chunks.remove(at);
            inherited = self.enclosing.remove(at);
        }
        let cut = if prefixes.len() > MAX_CHUNK_LEN {
            prefixes.len() / 2
        } else {
            prefixes.len()
        };
        let (head, tail) = prefixes.split_at(cut);
        if let Some(tail_first) = tail.first() {
            let enclosing = inherited
                .iter()
                .chain(head)
                .filter(|p| p.contains(tail_first.start))
                .copied()
                .collect();
            self.insert_chunk(at, tail, enclosing);
        }
        if let Some(head_first) = head.first() {
            inherited.retain(|p| p.contains(head_first.start));
            self.insert_chunk(at, head, inherited);
        }
    }

    fn rebuild_index(&mut self) {
        self.index = self.starts.iter().step_by(INDEX_STRIDE).copied().collect();
    }

    fn insert_chunk(&mut self, at: usize, run: &[Prefix<K>], enclosing: EnclosingPrefixes<K>) {
        self.starts.insert(at, run[0].start);
        self.chunks.insert(at, Chunk::new(run));
        self.enclosing.insert(at, enclosing);
    }

    pub(crate) fn len(&self) -> usize {
        self.chunks.iter().map(Chunk::len).sum()
    }

    /// Returns the memory used, in bytes, without allocator overhead.
    pub(crate) fn memory_bytes(&self) -> usize {
        let spilled = |enclosing: &EnclosingPrefixes<K>| {
            if enclosing.spilled() {
                enclosing.capacity() * size_of::<Prefix<K>>()
            } else {
                0
            }
        };
        let each = size_of::<K>() + size_of::<Chunk<K>>() + size_of::<EnclosingPrefixes<K>>();
        self.chunks
            .iter()
            .zip(&self.enclosing)
            .map(|(chunk, enclosing)| each + chunk.memory_bytes() + spilled(enclosing))
            .sum()
    }

    /// Returns the number of chunks that share their memory with a chunk of `other`.
    ///
    /// Both lists are sorted, so one pass is enough.
    pub(crate) fn count_shared_chunks(&self, other: &Self) -> usize {
        let mut others = other.chunks.iter().peekable();
        let is_shared = |chunk: &&Chunk<K>| {
            let sort_key = chunk.first_sort_key();
            while others.next_if(|o| o.first_sort_key() < sort_key).is_some() {}
            others.peek().is_some_and(|o| o.ptr_eq(chunk))
        };
        self.chunks.iter().filter(is_shared).count()
    }

    pub(crate) fn chunk_count(&self) -> usize {
        self.chunks.len()
    }
}
