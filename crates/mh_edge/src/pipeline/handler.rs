use std::fmt;
use std::sync::Arc;

use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, Uri};
use tokio::time::Instant;

use super::PipelineLoad;
use crate::{BoxFuture, ResponseBody};

/// Handler of requests without a body that are started before the requests ahead of them are answered.
pub trait StartAhead: fmt::Debug + Send + Sync {
    /// Returns whether a request with this method, target and `Host` is known to be idempotent, so that it may run at the
    /// same time as other such requests of its connection. Returns `false` while the VM is shutting down.
    fn may_start(&self, method: &Method, uri: &Uri, host: Option<&HeaderValue>) -> bool;

    /// Answers a request that arrived at `arrived`. Dropping the future cancels the request.
    fn start(&self, req: Request<()>, arrived: Instant) -> BoxFuture<'static, Response<ResponseBody>>;
}

/// What a caller port needs to run pipelined requests concurrently.
#[derive(Clone, Debug)]
pub struct Pipelining {
    /// Handler of the requests that are started before their turn.
    pub handler: Arc<dyn StartAhead>,
    /// Pipelined requests of all connections of the VM, with their bounds.
    pub load: Arc<PipelineLoad>,
}

/// Returns whether requests of this method have the same effect in any order. `PUT`, `PATCH` and `DELETE` may be
/// idempotent one by one, but depend on the requests ahead of them.
pub fn may_run_concurrently(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::POST)
}
