mod announced_vm;
mod batch;
mod changes_read;
mod feed;
mod registered_server;
mod shift_order;
mod shift_record;
mod stored_quarantine;
mod update;
mod usage_reporter;
mod write_outcome;

use std::fmt;
use std::time::Duration;

use error_stack::Report;
use mh_platform::{BoxFuture, PlatformError, Result};
use mh_poison::Fingerprint;
use mh_types::{Code, ServiceName, StoreVersion, VersionName, VmName};
use mh_usage::{DutyRow, StoredUsage, WindowRecord};

pub use announced_vm::AnnouncedVm;
pub use batch::Batch;
pub use changes_read::ChangesRead;
pub use feed::Feed;
pub use registered_server::RegisteredServer;
pub use shift_order::ShiftOrder;
pub use shift_record::ShiftRecord;
pub use stored_quarantine::StoredQuarantine;
pub(crate) use update::Subject;
pub use update::Update;
pub use usage_reporter::UsageReporter;
pub use write_outcome::WriteOutcome;

/// The store of routes, the server registry and all state that must outlast a VM.
///
/// Versions come from one counter of the store, so that a later read has a higher version. A restore of the store from a
/// copy resets the counter and begins a new era.
pub trait Source: fmt::Debug + Send + Sync {
    /// Reads the full state of `feed` at one point in time.
    fn read(&self, feed: Feed) -> BoxFuture<'_, Result<Batch>>;

    /// Waits up to `wait` for changes after `version`.
    fn changes(&self, feed: Feed, version: StoreVersion, wait: Duration) -> BoxFuture<'_, Result<ChangesRead>>;

    /// Writes this VM's entry to the VM list.
    fn announce<'a>(&'a self, vm: &'a AnnouncedVm) -> BoxFuture<'a, Result<()>>;

    /// Removes a VM's entry from the VM list.
    fn withdraw<'a>(&'a self, vm: &'a VmName) -> BoxFuture<'a, Result<()>>;

    /// Writes a quarantine, so that VMs that start learn of it.
    fn record_quarantine<'a>(&'a self, quarantine: &'a StoredQuarantine) -> BoxFuture<'a, Result<()>>;

    /// Removes a quarantine that has ended.
    fn remove_quarantine<'a>(&'a self, fingerprint: &'a Fingerprint) -> BoxFuture<'a, Result<()>>;

    /// Records the progress of a shift if the stored record still has the version of `record` and the store was not
    /// restored since that was read. `retired` are the versions of the service that may not be used from then on.
    fn record_shift<'a>(
        &'a self,
        service: &'a ServiceName,
        record: &'a ShiftRecord,
        retired: &'a [VersionName],
    ) -> BoxFuture<'a, Result<WriteOutcome>>;

    /// Reads who reports usage, and the recorded windows. A source without usage reports has neither.
    fn read_usage(&self) -> BoxFuture<'_, Result<StoredUsage>> {
        Box::pin(async { Err(Report::new(PlatformError(Code::TableUnreachable))) })
    }

    /// Claims the duty of reporting usage if its stored row still has the version `expected`, whose era is that of the
    /// row's token.
    fn claim_usage_duty<'a>(
        &'a self,
        _row: &'a DutyRow,
        _expected: StoreVersion,
    ) -> BoxFuture<'a, Result<WriteOutcome>> {
        Box::pin(async { Ok(WriteOutcome::Conflict) })
    }

    /// Records the usage of a window if it is not recorded, `duty` is still the stored row and the store was not restored
    /// from a copy without it; also removes the windows `removed`.
    fn record_usage<'a>(
        &'a self,
        _duty: &'a DutyRow,
        _record: &'a WindowRecord,
        _removed: &'a [u64],
    ) -> BoxFuture<'a, Result<WriteOutcome>> {
        Box::pin(async { Ok(WriteOutcome::Conflict) })
    }
}
