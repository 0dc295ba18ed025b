mod announced_vm;
mod batch;
mod feed;
mod registered_server;
mod shift_order;
mod shift_record;
mod update;
mod written;

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
pub use written::Written;

/// The store that holds routes, registers and what must outlast a VM.
///
/// Versions come from one counter of the store, so what was read later has a higher one.
pub trait Source: fmt::Debug + Send + Sync {
    /// Reads everything of one kind as of one moment.
    fn read(&self, feed: Feed) -> BoxFuture<'_, Result<Batch>>;

    /// Waits up to `wait` for changes after `version`; `None` when the store no longer holds the changes since then.
    fn changes(&self, feed: Feed, version: u64, wait: Duration) -> BoxFuture<'_, Result<Option<Batch>>>;

    /// Lists this VM.
    fn announce<'a>(&'a self, vm: &'a AnnouncedVm) -> BoxFuture<'a, Result<()>>;

    /// Takes a VM from the list.
    fn withdraw<'a>(&'a self, vm: &'a VmName) -> BoxFuture<'a, Result<()>>;

    /// Records how far a shift is, if the record still has the version `held`, where 0 stands for no record.
    fn record_shift<'a>(
        &'a self,
        service: &'a ServiceName,
        record: &'a ShiftRecord,
        held: u64,
    ) -> BoxFuture<'a, Result<Written>>;
}
