use std::sync::Arc;

use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, Uri};
use mh_config::{CompiledRoute, Execution};
use tokio::time::Instant;

use super::Edge;
use crate::lookup::LOOKUP_PATH;
use crate::pipeline::{Pipelining, StartAhead, may_run_concurrently};
use crate::{BoxFuture, PipelineLoad, ResponseBody};

/// Starts pipelined requests of an [`Edge`] before their turn.
#[derive(Debug)]
struct EdgeAhead(Arc<Edge>);

impl Edge {
    /// Returns the pipelined requests of all connections.
    pub fn pipeline_load(&self) -> &Arc<PipelineLoad> {
        &self.pipeline_load
    }

    /// Returns what a caller port needs to run pipelined requests concurrently.
    pub(crate) fn pipelining(self: &Arc<Self>) -> Pipelining {
        Pipelining {
            handler: Arc::new(EdgeAhead(Arc::clone(self))),
            load: Arc::clone(&self.pipeline_load),
        }
    }
}

impl StartAhead for EdgeAhead {
    fn may_start(&self, method: &Method, uri: &Uri, _host: Option<&HeaderValue>) -> bool {
        let live = self.0.live.load();
        let route = live.snapshot.routes.find(method.as_str(), uri.path());
        may_run_concurrently(method) && uri.path() != LOOKUP_PATH && route.is_some_and(|route| may_start_ahead(route))
    }

    fn start(&self, req: Request<()>, arrived: Instant) -> BoxFuture<'static, Response<ResponseBody>> {
        let edge = Arc::clone(&self.0);
        Box::pin(async move { edge.handle_at(req.map(|()| None), arrived).await })
    }
}

/// Returns whether requests of a route may run before the requests ahead of them are answered.
pub(super) fn may_start_ahead(route: &CompiledRoute) -> bool {
    route.execution == Execution::Idempotent && !route.deferrable
}
