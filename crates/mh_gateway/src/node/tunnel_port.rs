use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::upgrade::{Parts, Upgraded};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mh_edge::connect_to_server;
use mh_types::ServerName;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::GatewayNode;
use crate::request::{SERVER_HEADER, increment};

/// Longest wait for a server: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Fraction of the file descriptors for tunnels; each needs two.
const TUNNEL_DESCRIPTOR_FRACTION: f64 = 0.2;

/// Counts a tunnel until it is dropped.
struct TunnelGuard(Arc<GatewayNode>);

impl TunnelGuard {
    /// Reserves the descriptors of one connection; `None` if all are in use.
    fn reserve(node: &Arc<GatewayNode>) -> Option<Self> {
        let most = (node.cfg.descriptors as f64 * TUNNEL_DESCRIPTOR_FRACTION) as usize / 2;
        let guard = Self(Arc::clone(node));
        (node.open_tunnels.fetch_add(1, Ordering::Relaxed) < most).then_some(guard)
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.open_tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connects another VM that is cut off from the backend servers to one of them.
///
/// A tunnel leads to the server and not to a third VM, so that VMs cannot form a loop. Only listed servers can be reached.
pub(super) async fn handle_connect(node: &Arc<GatewayNode>, mut req: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = |status: StatusCode| {
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = status;
        answer
    };
    let server = req.headers().get(&SERVER_HEADER).and_then(|name| name.to_str().ok());
    let Some(addr) = server.and_then(|server| listed_addr(node, &server.into())) else {
        return status(StatusCode::BAD_GATEWAY);
    };
    let paths = node.gateway.paths();
    if node.gateway.is_leaving() || paths.is_cut_off() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(guard) = TunnelGuard::reserve(node) else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Ok(Ok(server)) = tokio::time::timeout(CONNECT_TIMEOUT, connect_to_server(addr)).await else {
        paths.start_check();
        let is_cut_off = paths.check_ended().await;
        return status(if is_cut_off {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::BAD_GATEWAY
        });
    };
    increment(&node.gateway.counters().tunnels_for_others);
    tokio::spawn(async move {
        if let Ok(upgraded) = hyper::upgrade::on(&mut req).await {
            pass_bytes(upgraded, server).await;
        }
        drop(guard);
    });
    status(StatusCode::OK)
}

/// Returns the address of a listed server.
fn listed_addr(node: &GatewayNode, server: &ServerName) -> Option<SocketAddr> {
    let live = node.gateway.live();
    let mut connections = live
        .backends
        .values()
        .filter_map(|backends| backends.connections(server));
    connections.next().map(|connections| connections.addr())
}

/// Passes bytes on between another VM and a server until one of them closes its connection.
async fn pass_bytes(upgraded: Upgraded, mut server: TcpStream) {
    let Ok(Parts { io, read_buf, .. }) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return;
    };
    let mut vm = io.into_inner();
    if copy_both(&mut vm, &mut server, &read_buf).await.is_err() {
        // An answer that ends with its connection must not look complete.
        let _ = vm.set_zero_linger();
    }
}

async fn copy_both(vm: &mut TcpStream, server: &mut TcpStream, first: &[u8]) -> io::Result<()> {
    let (mut from_vm, mut to_vm) = vm.split();
    let (mut from_server, mut to_server) = server.split();
    let requests = async {
        to_server.write_all(first).await?;
        tokio::io::copy(&mut from_vm, &mut to_server).await
    };
    tokio::select! {
        // A VM that closes its side waits for no answer any more.
        copied = requests => copied.map(drop),
        copied = tokio::io::copy(&mut from_server, &mut to_vm) => {
            copied?;
            to_vm.shutdown().await
        }
    }
}
