use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Body of a response; an error closes the connection before the body is complete.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Delay before `accept` is called again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves HTTP/1.1 on `addr` until the returned task is aborted.
///
/// An error from `handle` closes the connection without a response.
pub(crate) async fn serve<H, F>(addr: SocketAddr, handle: H) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = std::io::Result<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let handle = handle.clone();
            connections.spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = service_fn(handle);
                // Connection errors are ignored, since the injected faults cause them.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok((addr, task))
}
