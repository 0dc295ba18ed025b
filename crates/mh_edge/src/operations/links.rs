use std::fmt::Debug;
use std::pin::Pin;

use mh_once::{CallerId, ClaimStep};
use mh_peer::{Operation, OperationAnswer, OperationError};
use mh_types::{OrgName, VmName};

use crate::DeferredRequest;

/// A boxed future, so that the trait can be used as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What requests need from the other VMs and the platform.
pub trait EdgeLinks: Debug + Send + Sync {
    /// Asks a VM to take one token of an organisation's allowance; `None` when it could not be reached in time.
    fn ask_token<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<mh_budget::Answer>>;

    /// Stores a request for later delivery; `false` when it is not known to be stored.
    fn defer(&self, req: DeferredRequest) -> BoxFuture<'_, bool>;

    /// Claims a caller-made id in the platform's table; gives a final step.
    fn claim<'a>(&'a self, id: &'a CallerId) -> BoxFuture<'a, ClaimStep>;

    /// Sends an operation to the VM that decides it.
    fn forward<'a>(
        &'a self,
        vm: &'a VmName,
        operation: Operation,
    ) -> BoxFuture<'a, Result<OperationAnswer, OperationError>>;
}
