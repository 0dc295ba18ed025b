use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::upgrade::{Parts, Upgraded};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mh_edge::connect_to_server;
use mh_types::ServerName;
use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::FramedWrite;

use super::GatewayNode;
use crate::request::{FRAMED, FRAMING_HEADER, MAX_FRAME_BYTES, SERVER_HEADER, frame_codec, increment};

/// Longest wait for a server: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Fraction of the file descriptors for tunnels; each needs two.
const TUNNEL_DESCRIPTOR_FRACTION: f64 = 0.2;

/// Longest wait for the other VM to close a tunnel after the server has ended its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

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
    let is_framed = req.headers().get(FRAMING_HEADER) == Some(&FRAMED);
    tokio::spawn(async move {
        if let Ok(upgraded) = hyper::upgrade::on(&mut req).await {
            pass_bytes(upgraded, server, is_framed).await;
        }
        drop(guard);
    });
    let mut answer = status(StatusCode::OK);
    if is_framed {
        answer.headers_mut().insert(FRAMING_HEADER, FRAMED);
    }
    answer
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
async fn pass_bytes(upgraded: Upgraded, mut server: TcpStream, is_framed: bool) {
    let Ok(Parts { io, read_buf, .. }) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return;
    };
    let mut vm = io.into_inner();
    // An error leaves the end of the server's bytes unmarked.
    let _ = if is_framed {
        copy_framed(&mut vm, &mut server, &read_buf).await
    } else {
        copy_unframed(&mut vm, &mut server, &read_buf).await
    };
}

/// Sends the server's bytes in frames, of which an empty one marks their end.
async fn copy_framed(vm: &mut TcpStream, server: &mut TcpStream, first: &[u8]) -> io::Result<()> {
    let (from_vm, to_vm) = vm.split();
    let (mut from_server, to_server) = server.split();
    let mut frames = FramedWrite::new(to_vm, frame_codec());
    let requests = copy_requests(from_vm, to_server, first);
    tokio::pin!(requests);
    let answers = async {
        let mut buf = vec![0; MAX_FRAME_BYTES];
        loop {
            let len = from_server.read(&mut buf).await?;
            frames.send(Bytes::copy_from_slice(&buf[..len])).await?;
            if len == 0 {
                return SinkExt::<Bytes>::close(&mut frames).await;
            }
        }
    };
    tokio::select! {
        // A VM that closes its side waits for no answer any more.
        copied = &mut requests => return copied,
        ended = answers => ended?,
    }
    close_after_answer(requests).await;
    Ok(())
}

/// Sends the server's bytes as they are, for a VM of a version that knows no frames. It takes the end of the connection
/// for that of the server's bytes, so the connection is reset unless the server has ended its own, also by the
/// operating system if this process is killed.
async fn copy_unframed(vm: &mut TcpStream, server: &mut TcpStream, first: &[u8]) -> io::Result<()> {
    vm.set_zero_linger()?;
    let (from_vm, mut to_vm) = vm.split();
    let (mut from_server, to_server) = server.split();
    let requests = copy_requests(from_vm, to_server, first);
    tokio::pin!(requests);
    tokio::select! {
        copied = &mut requests => return copied,
        copied = tokio::io::copy(&mut from_server, &mut to_vm) => copied?,
    };
    set_socket_linger(to_vm.as_ref(), None)?;
    to_vm.shutdown().await?;
    close_after_answer(requests).await;
    Ok(())
}

async fn copy_requests(mut from_vm: ReadHalf<'_>, mut to_server: WriteHalf<'_>, first: &[u8]) -> io::Result<()> {
    to_server.write_all(first).await?;
    tokio::io::copy(&mut from_vm, &mut to_server).await.map(drop)
}

/// Reads what the other VM still sends until it closes its side as well, because closing a socket with unread bytes
/// resets it and may destroy the end of the answer.
async fn close_after_answer(requests: impl Future<Output = io::Result<()>>) {
    // The answer has been sent; an error or a timeout says nothing about it.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, requests).await;
}
