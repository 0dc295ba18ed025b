use mh_types::{Code, Run};

use crate::row_key::RowKey;

/// Outcome of [`ClaimBatcher::push`](crate::ClaimBatcher::push).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The claim is pending under this key, possibly together with earlier requests for the same id; the step returned
    /// for the key applies to all of them.
    ///
    /// A request that stops waiting must be removed from the waiting requests before it is refused as not run.
    Pending(RowKey),
    /// Too many claims are pending.
    Refuse(Code, Run),
}
