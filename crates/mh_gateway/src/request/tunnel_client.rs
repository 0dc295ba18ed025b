use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::header::HeaderName;
use hyper::upgrade::Parts;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use mh_edge::{ServerStream, connect_to_server};
use mh_types::ServerName;
use tokio::net::TcpStream;

use super::tunnel_stream::{FRAMED, FRAMING_HEADER, server_stream};

/// Reason why a connection could not be tunnelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TunnelError {
    /// The other VM did not answer in time or as expected.
    Unreachable,
    /// The other VM opens no tunnel now, for example because it is cut off itself.
    Refused,
    /// The other VM could not connect to the server.
    ServerUnreachable,
}

/// Header with the name of the server to connect to. The other VM connects to the address at which it knows the server.
pub(crate) const SERVER_HEADER: HeaderName = HeaderName::from_static("mangohook-server");

/// Opens a connection to `server` at `addr` through the VM at `vm` with the CONNECT method (RFC 9110, section 9.3.6).
/// The caller limits the time.
pub(super) async fn open_tunnel(
    vm: SocketAddr,
    server: &ServerName,
    addr: SocketAddr,
) -> Result<Box<dyn ServerStream>, TunnelError> {
    let stream = connect_to_server(vm).await.map_err(|_| TunnelError::Unreachable)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| TunnelError::Unreachable)?;
    // Ends with the upgrade, or with the sender.
    tokio::spawn(connection.with_upgrades());
    let req = Request::connect(addr.to_string()).header(SERVER_HEADER, server.as_str());
    let req = req.header(FRAMING_HEADER, FRAMED);
    // A name that no header can hold is one that the other VM cannot be asked for.
    let req = req
        .body(Empty::<Bytes>::new())
        .map_err(|_| TunnelError::ServerUnreachable)?;
    let answer = sender.send_request(req).await.map_err(|_| TunnelError::Unreachable)?;
    match answer.status() {
        StatusCode::OK => {
            // A VM of an earlier version passes bytes on without frames.
            let is_framed = answer.headers().get(FRAMING_HEADER) == Some(&FRAMED);
            let upgraded = hyper::upgrade::on(answer).await.map_err(|_| TunnelError::Unreachable)?;
            let parts = upgraded.downcast::<TokioIo<TcpStream>>();
            let Parts { io, read_buf, .. } = parts.map_err(|_| TunnelError::Unreachable)?;
            Ok(server_stream(io.into_inner(), &read_buf, is_framed))
        }
        StatusCode::BAD_GATEWAY => Err(TunnelError::ServerUnreachable),
        _ => Err(TunnelError::Refused),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/tunnel_client.rs"]
mod tests;
