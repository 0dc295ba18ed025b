use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that is tried.
const FIRST_PORT: u16 = 10_000;
/// Ports that are tried, all below the usual range of outgoing connections (32,768 and up).
const PORTS: u16 = 22_000;
/// Counts through the ports, so that two processes of one test never try the same one.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Free addresses on loopback, for TCP and UDP.
///
/// They lie below the range that the system takes for outgoing connections, so that no connection of another test takes
/// one of them before a process binds it.
///
/// # Errors
///
/// The error of asking for a bound address.
pub fn free_addrs<const N: usize>() -> std::io::Result<[SocketAddr; N]> {
    let mut held = Vec::new();
    while held.len() < N {
        let offset = NEXT_PORT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(97));
        let port = FIRST_PORT + (offset % u32::from(PORTS)) as u16;
        if let (Ok(tcp), Ok(udp)) = (
            TcpListener::bind(("127.0.0.1", port)),
            UdpSocket::bind(("127.0.0.1", port)),
        ) {
            held.push((tcp, udp));
        }
    }
    let mut out = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (addr, (tcp, _)) in out.iter_mut().zip(&held) {
        *addr = tcp.local_addr()?;
    }
    Ok(out)
}
