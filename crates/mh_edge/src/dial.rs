use std::fmt::Debug;
use std::net::SocketAddr;

use mh_types::{Code, RegionName, ServerName, VmName};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::BoxFuture;
use crate::socket::set_options;

/// Opens connections to backend servers.
pub trait Dial: Debug + Send + Sync {
    /// Opens a connection to `server`, which is listed at `addr`. The caller limits the time.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] if the server cannot be reached, [`Code::NoPath`] if this VM cannot reach any server.
    fn dial<'a>(&'a self, server: &'a ServerName, addr: SocketAddr) -> BoxFuture<'a, Result<Dialed, Code>>;

    /// Returns whether a request may use an idle connection that was opened over `path`.
    fn may_reuse(&self, path: &ConnectionPath) -> bool;
}

/// Stream of bytes to and from a backend server.
pub trait ServerStream: AsyncRead + AsyncWrite + Debug + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Debug + Send + Unpin> ServerStream for T {}

/// A connection that was opened to a backend server.
#[derive(Debug)]
pub struct Dialed {
    /// The bytes of the connection.
    pub stream: Box<dyn ServerStream>,
    /// How the server is reached.
    pub path: ConnectionPath,
}

/// How a connection reaches its backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionPath {
    /// This VM is connected to the server.
    Direct,
    /// Another VM is connected to the server and passes the bytes on.
    Tunnel {
        /// The other VM.
        vm: VmName,
        /// Region of the other VM.
        region: RegionName,
    },
}

/// Dialer that connects to each server itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectDial;

impl Dial for DirectDial {
    fn dial<'a>(&'a self, _server: &'a ServerName, addr: SocketAddr) -> BoxFuture<'a, Result<Dialed, Code>> {
        Box::pin(async move {
            let stream = connect_to_server(addr).await.map_err(|_| Code::ConnectFailed)?;
            Ok(Dialed {
                stream: Box::new(stream),
                path: ConnectionPath::Direct,
            })
        })
    }

    fn may_reuse(&self, _path: &ConnectionPath) -> bool {
        true
    }
}

/// Connects to the backend server, or the VM that opens a tunnel, at `addr`.
///
/// Closing the connection resets it: bytes that have not left this machine, because a partition holds them up, are lost.
/// Otherwise a request whose caller got its final answer long ago would run when the partition has ended.
///
/// # Errors
///
/// Those of the connect.
pub async fn connect_to_server(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    set_options(&stream)?;
    stream.set_zero_linger()?;
    Ok(stream)
}
