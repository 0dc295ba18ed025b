use crate::caller_id::CallerChosenId;
use crate::issued_id::IssuedId;
use crate::row_key::RowKey;

/// Fixed-size key of an operation in its owner's operation table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RecordKey {
    caller_supplied: bool,
    parts: [u64; 2],
}

impl RecordKey {
    /// Key of an id issued by this owner.
    pub(crate) fn issued(id: &IssuedId) -> Self {
        Self {
            caller_supplied: false,
            parts: [id.issued_ms, id.nonce],
        }
    }

    /// Key of a caller-supplied id.
    pub(crate) fn caller(id: &CallerChosenId) -> Self {
        let bits = RowKey::new(id).bits();
        Self {
            caller_supplied: true,
            parts: [(bits >> 64) as u64, bits as u64],
        }
    }

    /// Index of the shard that holds the key, out of `shards`.
    pub(crate) fn shard(self, shards: usize) -> usize {
        let [high, low] = self.parts;
        // The nonce of an issued id has its counter in the upper half, so both halves are folded in.
        let mixed = (high ^ low ^ (low >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) as usize % shards
    }
}
