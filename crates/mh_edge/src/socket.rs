use std::io;
use std::time::Duration;

use rustix::net::sockopt::{set_socket_keepalive, set_tcp_keepidle, set_tcp_keepintvl, set_tcp_user_timeout};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a connection whose data or probes are not acknowledged is closed: several retransmissions. On Linux
/// it replaces the number of unanswered probes.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sets the options of a connection to a backend server or to another VM, so that a peer that cannot be reached any more
/// is noticed within two seconds, also while this VM only waits for an answer.
///
/// # Errors
///
/// Those of the socket.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_user_timeout(stream, USER_TIMEOUT.as_millis() as u32)?;
    Ok(())
}
