use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};

/// Number of buckets that the sliding window of one lifetime is divided into.
pub(crate) const WINDOW_BUCKETS: usize = 4;

/// Number of look-ups within the last lifetime whose first choice was one VM, as a sliding-window counter.
#[derive(Debug, Default)]
pub(crate) struct WindowCounter {
    total: AtomicU32,
    buckets: [AtomicU32; WINDOW_BUCKETS],
}

impl WindowCounter {
    pub(crate) fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, bucket: usize) {
        self.buckets[bucket % WINDOW_BUCKETS].fetch_add(1, Ordering::Relaxed);
        self.total.fetch_add(1, Ordering::Relaxed);
    }

    /// Clears the oldest bucket, `bucket`, which becomes the current one.
    pub(crate) fn expire_oldest(&self, bucket: usize) {
        let old = self.buckets[bucket % WINDOW_BUCKETS].swap(0, Ordering::Relaxed);
        self.total.fetch_sub(old, Ordering::Relaxed);
    }
}

/// Number of the current bucket, shared by a table and the tables derived from it.
#[derive(Debug, Default)]
pub(crate) struct CurrentBucket(AtomicUsize);

impl CurrentBucket {
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn set(&self, bucket: usize) {
        self.0.store(bucket, Ordering::Relaxed);
    }
}
