use std::pin::Pin;

use mh_types::Revision;

use crate::{Changes, Exchange, Operation, OperationAnswer};

/// A boxed future, so that the trait can be used as a trait object.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Handles the calls of peers.
///
/// `exchange` and `changes` run on the peer thread and must not block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a peer's messages and returns this VM's own.
    fn exchange(&self, exchange: Exchange) -> Exchange;

    /// Returns the changes to the settings after `since`.
    fn changes(&self, since: Revision) -> Changes;

    /// Decides whether an operation that this VM owns may run, and runs it.
    fn operate(&self, operation: Operation) -> BoxFuture<OperationAnswer>;
}
