use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that is tried.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are tried, all below the usual range for outgoing connections (32,768 and up).
const PORT_COUNT: u16 = 22_000;
/// Offset of the next port. It increases with each attempt, so that two processes of one test never try the same port.
static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns loopback addresses whose ports are free for TCP and UDP.
///
/// The ports lie below the range that the system uses for outgoing connections. Otherwise a connection of another test
/// could take one of them before a process binds it.
///
/// # Errors
///
/// The error of reading the address of a bound socket.
pub fn free_addrs<const N: usize>() -> std::io::Result<[SocketAddr; N]> {
    let mut sockets = Vec::new();
    while sockets.len() < N {
        let offset = NEXT_OFFSET
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(97));
        let port = FIRST_PORT + (offset % u32::from(PORT_COUNT)) as u16;
        if let (Ok(tcp), Ok(udp)) = (
            TcpListener::bind(("127.0.0.1", port)),
            UdpSocket::bind(("127.0.0.1", port)),
        ) {
            sockets.push((tcp, udp));
        }
    }
    let mut addrs = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (addr, (tcp, _)) in addrs.iter_mut().zip(&sockets) {
        *addr = tcp.local_addr()?;
    }
    Ok(addrs)
}
