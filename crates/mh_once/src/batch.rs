use crate::claim_row::ClaimRow;
use crate::row_key::RowKey;
use crate::write_id::WriteId;

/// A transaction on the platform table that creates claim rows, on condition that none of them exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Unique id of the write.
    pub write_id: WriteId,
    /// Rows to create; keys are unique.
    pub rows: Vec<(RowKey, ClaimRow)>,
}
