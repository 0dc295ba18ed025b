use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mh_edge::{CallerPort, PortLimits, set_options};
use mh_lookup::zonal;
use mh_platform::BoxFuture;
use mh_types::{Event, RegionName, emit};
use tokio::net::TcpListener;
use tokio::time::Duration;

use super::GatewayNode;
use super::state_dump::state_dump;
use super::tunnel_port::handle_connect;
use crate::LookupMode;
use crate::control::{CHANGES_PATH, parse_changes_query};
use crate::request::{count_lookup, serve_gateway};

/// Maximum number of VMs in the answer of a look-up.
const MAX_LOOKUP_VMS: usize = 64;

/// Longest wait for a request on the look-up, health and peer ports.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Fraction of the file descriptors for callers' connections; the rest is for backend servers, the store and files.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Path of the state dump on the health port.
const STATE_PATH: &str = "/state";

/// Path of the metrics on the health port.
const METRICS_PATH: &str = "/metrics";

/// Serves callers' requests.
pub(super) fn serve_callers(listener: TcpListener, node: &Arc<GatewayNode>) -> std::io::Result<CallerPort> {
    let gateway = Arc::clone(&node.gateway);
    let limits = {
        let gateway = Arc::clone(&gateway);
        let max_connections = (node.cfg.descriptors as f64 * CALLER_DESCRIPTOR_FRACTION) as usize;
        move || {
            let live = gateway.live();
            let caller = live.plan.as_ref().map(|plan| plan.limits).unwrap_or_default();
            PortLimits {
                max_connections,
                // This timeout also covers the wait of an idle connection for its next request.
                header_timeout: caller.header_timeout.max(caller.idle_timeout),
                ..PortLimits::default()
            }
        }
    };
    serve_gateway(listener, limits, gateway)
}

/// Serves readiness checks, metrics and the state dump.
pub(super) fn serve_health(listener: TcpListener, node: Arc<GatewayNode>) {
    tokio::spawn(serve_port(listener, node, |node, req| {
        Box::pin(std::future::ready(handle_health(&node, &req)))
    }));
}

fn handle_health(node: &GatewayNode, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.uri().path() == METRICS_PATH {
        return text_response(StatusCode::OK, node.metrics_text());
    }
    if req.uri().path() == STATE_PATH {
        return text_response(StatusCode::OK, state_dump(node).to_string());
    }
    if req.uri().path() != node.interface.ready_path() {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    let status = if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_response(status, String::new())
}

/// Serves feed changes to other VMs of the region, and tunnels to backend servers to VMs that are cut off from them.
pub(super) fn serve_peers(listener: TcpListener, node: Arc<GatewayNode>) {
    tokio::spawn(serve_port(listener, node, |node, req| {
        Box::pin(async move {
            if req.method() == Method::CONNECT {
                handle_connect(&node, req).await
            } else {
                handle_changes(&node, &req).await
            }
        })
    }));
}

async fn handle_changes(node: &Arc<GatewayNode>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.uri().path() != CHANGES_PATH {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    let Some((feed, held, min)) = parse_changes_query(req.uri().query().unwrap_or_default()) else {
        return text_response(StatusCode::BAD_REQUEST, String::new());
    };
    match node.fetch_response(feed, held, min).await {
        Some(fetched) => Response::new(Full::new(fetched)),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

/// Serves look-ups of VMs.
pub(super) fn serve_lookups(listener: TcpListener, node: Arc<GatewayNode>) {
    tokio::spawn(serve_port(listener, node, |node, req| {
        Box::pin(std::future::ready(handle_lookup(&node, &req)))
    }));
}

fn handle_lookup(node: &GatewayNode, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.method() != Method::GET || req.uri().path() != node.interface.lookup_path() {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    count_lookup(node.gateway.counters());
    let query = node.interface.lookup_query(req.uri().query().unwrap_or_default());
    let vms = match node.cfg.lookups {
        LookupMode::Region => select_vms(&node.gateway.live().vms, query.region.as_ref(), rand::random()),
        LookupMode::Domain => zonal::select(
            &node.lookup_vms.load(),
            query.region.as_ref(),
            query.domain.as_ref(),
            MAX_LOOKUP_VMS,
            rand::random::<f64>,
        ),
    };
    if vms.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    let lifetime = node.gateway.bounds().stated_lookup_lifetime();
    let mut answer = Response::new(Full::new(node.interface.lookup_answer(&vms, lifetime)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Returns the VMs of the caller's region, or all VMs if the region has none. If they exceed [`MAX_LOOKUP_VMS`], `rnd`
/// selects a subset, which spreads callers over all of them.
fn select_vms(vms: &[(RegionName, SocketAddr)], region: Option<&RegionName>, rnd: u64) -> Vec<SocketAddr> {
    let in_region = vms.iter().filter(|(of, _)| region.is_some_and(|region| of == region));
    let mut chosen: Vec<SocketAddr> = in_region.map(|(_, addr)| *addr).collect();
    if chosen.is_empty() {
        chosen = vms.iter().map(|(_, addr)| *addr).collect();
    }
    if chosen.len() > MAX_LOOKUP_VMS {
        let start = (rnd % chosen.len() as u64) as usize;
        chosen.rotate_left(start);
        chosen.truncate(MAX_LOOKUP_VMS);
    }
    chosen
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}

/// Request handler of a port.
type Handler = fn(Arc<GatewayNode>, Request<Incoming>) -> BoxFuture<'static, Response<Full<Bytes>>>;

async fn serve_port(listener: TcpListener, node: Arc<GatewayNode>, handler: Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let node = Arc::clone(&node);
        let service = hyper::service::service_fn(move |req: Request<Incoming>| {
            let answer = handler(Arc::clone(&node), req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
        // A connection without these options works too.
        let _ = set_options(&stream);
        let connection = builder.serve_connection(TokioIo::new(stream), service).with_upgrades();
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                emit!(Event::ConnectionFailed, error = e);
            }
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ports.rs"]
mod tests;
