mod announced_vm;
mod batch;
mod feed;
mod registered_server;
mod shift_order;
mod shift_record;
mod update;
mod write_outcome;

use std::fmt;
use std::time::Duration;

use mh_platform::{BoxFuture, Result};
use mh_types::{ServiceName, VmName};

pub use announced_vm::AnnouncedVm;
pub use batch::Batch;
pub use feed::Feed;
pub use registered_server::RegisteredServer;
pub use shift_order::ShiftOrder;
pub use shift_record::ShiftRecord;
pub(crate) use update::Subject;
pub use update::Update;
pub use write_outcome::WriteOutcome;

/// The store of routes, the server registry and all state that must outlast a VM.
///
/// Versions come from one counter of the store, so that a later read has a higher version.
pub trait Source: fmt::Debug + Send + Sync {
    /// Reads the full state of `feed` at one point in time.
    fn read(&self, feed: Feed) -> BoxFuture<'_, Result<Batch>>;

    /// Waits up to `wait` for changes after `version`; returns `None` if the store no longer keeps the changes since
    /// then.
    fn changes(&self, feed: Feed, version: u64, wait: Duration) -> BoxFuture<'_, Result<Option<Batch>>>;

    /// Writes this VM's entry to the VM list.
    fn announce<'a>(&'a self, vm: &'a AnnouncedVm) -> BoxFuture<'a, Result<()>>;

    /// Removes a VM's entry from the VM list.
    fn withdraw<'a>(&'a self, vm: &'a VmName) -> BoxFuture<'a, Result<()>>;

    /// Records the progress of a shift if the stored record still has `expected_version`; 0 stands for no record.
    fn record_shift<'a>(
        &'a self,
        service: &'a ServiceName,
        record: &'a ShiftRecord,
        expected_version: u64,
    ) -> BoxFuture<'a, Result<WriteOutcome>>;
}
