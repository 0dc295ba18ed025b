use std::fmt::Debug;

use crate::{BoxFuture, Result, VmListing};

/// Client interface of the platform's list of live and leaving VMs, which may be out of date.
pub trait VmList: Debug + Send + Sync {
    /// Reads the list.
    fn read(&self) -> BoxFuture<'_, Result<VmListing>>;
}
