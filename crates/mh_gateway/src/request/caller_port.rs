use std::sync::Arc;

use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, Uri};
use mh_edge::{BoxFuture, CallerPort, Pipelining, PortLimits, ResponseBody, StartAhead, serve_pipelined};
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::gateway::Gateway;

/// Starts pipelined requests of a [`Gateway`] before their turn.
#[derive(Debug)]
struct GatewayAhead(Arc<Gateway>);

impl StartAhead for GatewayAhead {
    fn may_start(&self, method: &Method, uri: &Uri, host: Option<&HeaderValue>) -> bool {
        self.0.may_start_ahead(method, uri, host)
    }

    fn start(&self, req: Request<()>, arrived: Instant) -> BoxFuture<'static, Response<ResponseBody>> {
        let gateway = Arc::clone(&self.0);
        Box::pin(async move { gateway.handle_at(req.map(|()| None), arrived).await })
    }
}

/// Serves callers' requests on `listener`; `limits` is called for each connection.
///
/// # Errors
///
/// Returns the error of reading the listener's local address.
pub fn serve_gateway<L>(listener: TcpListener, limits: L, gateway: Arc<Gateway>) -> std::io::Result<CallerPort>
where
    L: Fn() -> PortLimits + Send + 'static,
{
    let pipelining = Pipelining {
        handler: Arc::new(GatewayAhead(Arc::clone(&gateway))),
        load: Arc::clone(gateway.pipeline_load()),
    };
    let handle = move |req: Request<_>, arrived: Option<Instant>| {
        let gateway = Arc::clone(&gateway);
        async move {
            let arrived = arrived.unwrap_or_else(Instant::now);
            gateway.handle_at(req.map(Some), arrived).await
        }
    };
    serve_pipelined(listener, limits, handle, Some(pipelining))
}
