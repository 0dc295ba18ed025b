use std::fmt::Debug;
use std::pin::Pin;

use mh_once::{CallerChosenId, ClaimStep};
use mh_peer::{Operation, OperationAnswer, OperationError};
use mh_types::{OrgName, VmName};

use crate::DeferredRequest;

/// A boxed future, which keeps [`EdgeLinks`] dyn-compatible.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Access to other VMs and to the platform during a request.
pub trait EdgeLinks: Debug + Send + Sync {
    /// Asks a VM to take one token of an organisation's rate limit; `None` if it could not be reached in time.
    fn ask_token<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<mh_budget::Answer>>;

    /// Stores a request for later delivery; `false` if storing it was not confirmed.
    fn defer(&self, req: DeferredRequest) -> BoxFuture<'_, bool>;

    /// Claims a caller-generated operation id in the platform's table.
    ///
    /// Returns a final step, never [`ClaimStep::Create`] or [`ClaimStep::ReadBack`].
    fn claim<'a>(&'a self, id: &'a CallerChosenId) -> BoxFuture<'a, ClaimStep>;

    /// Forwards an operation to the VM that owns it.
    fn forward<'a>(
        &'a self,
        vm: &'a VmName,
        operation: Operation,
    ) -> BoxFuture<'a, Result<OperationAnswer, OperationError>>;
}
