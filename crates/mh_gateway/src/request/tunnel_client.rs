use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::header::HeaderName;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use mh_edge::{ServerStream, connect_to_server};
use mh_types::ServerName;

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
    // A name that no header can hold is one that the other VM cannot be asked for.
    let req = req
        .body(Empty::<Bytes>::new())
        .map_err(|_| TunnelError::ServerUnreachable)?;
    let answer = sender.send_request(req).await.map_err(|_| TunnelError::Unreachable)?;
    match answer.status() {
        StatusCode::OK => {
            let upgraded = hyper::upgrade::on(answer).await.map_err(|_| TunnelError::Unreachable)?;
            Ok(Box::new(TokioIo::new(upgraded)))
        }
        StatusCode::BAD_GATEWAY => Err(TunnelError::ServerUnreachable),
        _ => Err(TunnelError::Refused),
    }
}
