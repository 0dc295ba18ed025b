use std::pin::Pin;

use mh_types::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::AdminError;

/// Boxed future that the methods of [`AdminApi`] return, which keeps the trait usable as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Request of an operator to set or remove a settings document.
#[derive(Clone, Debug)]
pub struct SetRequest {
    /// Settings path.
    pub path: String,
    /// New document as JSON; `None` removes the document.
    pub doc: Option<String>,
    /// Revision that the document must have; 0 if it must not exist.
    pub if_revision: Option<Revision>,
    /// Name of the operator, recorded in the history.
    pub by: String,
}

/// Result of a committed change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Revision of the change.
    pub revision: Revision,
    /// Whether a majority of the roster holds the change, so that no VM can be current without it.
    pub accepted: bool,
    /// VMs that have not yet confirmed the change.
    pub missing: Vec<String>,
}

/// Operations behind the admin port.
pub trait AdminApi: Send + Sync + 'static {
    /// Returns the documents below a path prefix.
    fn list(&self, prefix: &str) -> Value;

    /// Returns the document at `path`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`Code::PathInvalid`](mh_types::Code::PathInvalid) if `path` is not a settings path.
    fn get(&self, path: &str) -> Result<Option<Value>, AdminError>;

    /// Sets or removes a document and waits for a short time until the change is accepted.
    fn set(&self, req: SetRequest) -> BoxFuture<'_, Result<ChangeReply, AdminError>>;

    /// Returns at most `limit` changes of a path, newest first.
    fn history<'a>(&'a self, path: &'a str, limit: u32) -> BoxFuture<'a, Result<Value, AdminError>>;

    /// Returns the state of this VM and its view of the other VMs.
    fn status(&self) -> Value;

    /// Returns the state of every component of this process, without secrets.
    fn dump(&self) -> Value;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
