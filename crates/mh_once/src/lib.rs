//! At-most-once execution of operations.
//!
//! Each operation has an id, and each id has exactly one [`Owner`]: one incarnation of one VM, whose in-memory
//! operation table decides whether the operation runs. An [`IssuedId`] contains its owner; the owner of a
//! [`CallerChosenId`] is the VM that created the id's claim row in the platform table through a [`Claim`]. Other VMs
//! forward requests to the owner ([`Router`]). If the owner is lost, the outcome is reported as "unknown" and the
//! operation is not run again.
//!
//! The owner's operation table ([`OpTable`]) grants one request an [`Attempt<Ready>`](Attempt). [`Attempt::send`] turns
//! it into an [`Attempt<InFlight>`](Attempt), which can end with an [`Answer`] or as unknown, but no longer as not run.
//!
//! ```
//! use bytes::Bytes;
//! use mh_once::prelude::*;
//! use mh_types::prelude::*;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let owner = Owner::new(VmName::from("maine-a-1"), Incarnation(5), now);
//! let table = OpTable::new(owner.clone(), TableLimits::default());
//! let id = OpIdIssuer::new(owner).issue(now, 42);
//! let fingerprint = Fingerprint::new(None, "POST", "/orders", b"digest of the body");
//!
//! let BeginOutcome::Begin(attempt) = table.begin(now, &id, fingerprint) else { panic!("a new id must run") };
//! let attempt = attempt.send();
//! // ... the request goes to a backend server ...
//! let first = attempt.finish(now, Answer { status: 201, headers: vec![], body: Bytes::from_static(b"order 17") });
//!
//! let BeginOutcome::Done(repeat) = table.begin(now, &id, fingerprint) else { panic!("a repeat must not run") };
//! assert_eq!(repeat, first);
//! ```

mod answer;
mod attempt;
mod attempt_outcome;
mod batch;
mod batch_outcome;
mod batch_progress;
mod batcher;
mod begin_outcome;
mod caller_id;
mod checksum;
mod claim;
mod claim_limits;
mod claim_row;
mod claim_step;
mod decision;
mod digest;
mod fingerprint;
mod forward_id;
mod forward_window;
mod invalid_op_id;
mod issued_id;
mod issuer;
mod limits;
mod not_run;
mod op_id;
mod owner;
mod poll_output;
mod push_outcome;
mod record;
mod record_key;
mod router;
mod row_key;
mod shard;
mod table;
mod table_state;
mod usage;
mod wait_outcome;
mod waiter;
mod write_id;
mod write_outcome;

pub use answer::Answer;
pub use attempt::{Attempt, InFlight, Ready};
pub use batch::Batch;
pub use batch_outcome::BatchOutcome;
pub use batch_progress::BatchProgress;
pub use batcher::ClaimBatcher;
pub use begin_outcome::BeginOutcome;
pub use caller_id::CallerChosenId;
pub use claim::Claim;
pub use claim_limits::ClaimLimits;
pub use claim_row::ClaimRow;
pub use claim_step::ClaimStep;
pub use decision::Decision;
pub use fingerprint::Fingerprint;
pub use forward_id::{ForwardId, ForwardIdGenerator};
pub use forward_window::{FORWARD_WINDOW_SERIALS, ForwardWindow};
pub use invalid_op_id::InvalidOpId;
pub use issued_id::IssuedId;
pub use issuer::OpIdIssuer;
pub use limits::TableLimits;
pub use not_run::NotRun;
pub use op_id::OpId;
pub use owner::Owner;
pub use poll_output::PollOutput;
pub use push_outcome::PushOutcome;
pub use router::Router;
pub use row_key::RowKey;
pub use table::OpTable;
pub use usage::TableUsage;
pub use wait_outcome::WaitOutcome;
pub use waiter::Waiter;
pub use write_id::WriteId;
pub use write_outcome::WriteOutcome;

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        Answer, Attempt, BeginOutcome, CallerChosenId, ClaimBatcher, ClaimRow, ClaimStep, Decision, Fingerprint,
        InFlight, IssuedId, NotRun, OpId, OpIdIssuer, OpTable, Owner, Ready, Router, TableLimits, WaitOutcome, Waiter,
    };
}
