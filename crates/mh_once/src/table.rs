use std::sync::Arc;

use tokio::time::Instant;

use crate::begin_outcome::BeginOutcome;
use crate::caller_id::CallerChosenId;
use crate::claim_row::ClaimRow;
use crate::fingerprint::Fingerprint;
use crate::limits::TableLimits;
use crate::op_id::OpId;
use crate::owner::Owner;
use crate::record_key::RecordKey;
use crate::table_state::TableState;
use crate::usage::TableUsage;

/// In-memory operation table of one owner, which records the operations that have run and their answers.
///
/// A clone is another handle to the same table. A record is kept until its id's lifetime has expired; from then on the
/// id is refused because of its age alone. A full operation table refuses new operations and does not evict unexpired
/// records. Answers are evicted earlier when they exceed the byte limit.
#[derive(Clone, Debug)]
pub struct OpTable {
    state: Arc<TableState>,
}

impl OpTable {
    /// Creates a process's empty operation table; an owner must have only one.
    pub fn new(owner: Owner, limits: TableLimits) -> Self {
        Self {
            state: Arc::new(TableState::new(owner, limits)),
        }
    }

    /// Owner whose operations the operation table decides.
    pub fn owner(&self) -> &Owner {
        &self.state.owner
    }

    /// Decides a request with `id`; `now` must be read immediately before the call.
    ///
    /// Returns [`BeginOutcome::NotOwner`] for a caller-supplied id without a record; claim the id first, then call
    /// [`OpTable::begin_claimed`].
    pub fn begin(&self, now: Instant, id: &OpId, fingerprint: Fingerprint) -> BeginOutcome {
        match id {
            OpId::Issued(id) if self.owner().matches(&id.vm, id.incarnation) => {
                self.state
                    .begin(now, RecordKey::issued(id), Some(id.issued_ms), fingerprint)
            }
            OpId::Issued(_) => BeginOutcome::NotOwner,
            OpId::Caller(id) => self.state.begin(now, RecordKey::caller(id), None, fingerprint),
        }
    }

    /// Decides a request with a caller-supplied id whose committed claim row is `row`.
    ///
    /// The row is sufficient, whichever request created it: once an operation was sent, its record is not removed
    /// before the id's lifetime has expired, so without a record the operation has not run.
    pub fn begin_claimed(
        &self,
        now: Instant,
        id: &CallerChosenId,
        row: &ClaimRow,
        fingerprint: Fingerprint,
    ) -> BeginOutcome {
        if !row.is_claimed_by(self.owner()) {
            return BeginOutcome::NotOwner;
        }
        self.state
            .begin(now, RecordKey::caller(id), Some(row.claimed_ms), fingerprint)
    }

    /// Removes ended records whose lifetime has expired; each request also removes a few.
    pub fn on_tick(&self, now: Instant) {
        self.state.purge(now);
    }

    /// Current usage of the operation table.
    pub fn usage(&self) -> TableUsage {
        self.state.usage()
    }
}
