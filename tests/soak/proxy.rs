//! A TCP proxy that injects network faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of the link between a proxy and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Healthy,
    /// Every chunk is delayed by this time.
    Delayed(Duration),
    /// Bytes to the target are held until the link changes.
    StalledToTarget,
    /// Bytes from the target are held until the link changes.
    StalledFromTarget,
    /// New connections are closed at once.
    Closed,
}

/// Wait between two attempts to bind a port again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

async fn bind_again(addr: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return listener;
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// A loopback proxy in front of one address, with a link into which faults can be injected.
#[derive(Clone)]
pub struct Proxy {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    /// Whether new connections are refused and open ones reset, as if the target had crashed.
    is_down: watch::Sender<bool>,
    /// Last change to open connections, with a counter so that each change is noticed.
    open: watch::Sender<(u64, OpenConnections)>,
}

/// Change to the connections that are open; new connections are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenConnections {
    Unchanged,
    /// No more bytes are forwarded, and neither side is notified.
    Stalled,
    Reset,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let (link, open) = (
            watch::Sender::new(Link::Healthy),
            watch::Sender::new((0, OpenConnections::Unchanged)),
        );
        let is_down = watch::Sender::new(false);
        let proxy = Self {
            addr,
            link,
            is_down,
            open,
        };
        tokio::spawn(proxy.clone().run(listener, target));
        proxy
    }

    async fn run(self, mut listener: TcpListener, target: SocketAddr) {
        let mut is_down = self.is_down.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => Some(accepted),
                _ = is_down.wait_for(|is_down| *is_down) => None,
            };
            let Some(accepted) = accepted else {
                drop(listener);
                let _ = is_down.wait_for(|is_down| !*is_down).await;
                listener = bind_again(self.addr).await;
                continue;
            };
            let Ok((stream, _)) = accepted else { return };
            if *self.link.borrow() == Link::Closed {
                continue;
            }
            tokio::spawn(forward(stream, target, self.link.subscribe(), self.open.subscribe()));
        }
    }

    /// Sets whether new connections are refused.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.send_replace(is_down);
    }

    /// Resets open connections and refuses new ones for `time`.
    pub async fn go_down(&self, time: Duration) {
        self.is_down.send_replace(true);
        self.set_open_connections(OpenConnections::Reset);
        tokio::time::sleep(time).await;
        self.is_down.send_replace(false);
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Applies a change to the connections that are open now.
    pub fn set_open_connections(&self, state: OpenConnections) {
        self.open
            .send_modify(|(count, open)| (*count, *open) = (*count + 1, state));
    }
}

async fn forward(
    mut caller: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<Link>,
    mut open: watch::Receiver<(u64, OpenConnections)>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    open.mark_unchanged();
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let copies = async {
            tokio::try_join!(
                copy(from_caller, to_server, link.clone(), Direction::ToTarget),
                copy(from_server, to_caller, link, Direction::FromTarget)
            )
        };
        tokio::select! {
            copied = copies => copied.is_err(),
            _ = open.changed() => {
                if open.borrow().1 == OpenConnections::Stalled {
                    // Keeps the two sides open without forwarding until the test ends.
                    std::future::pending::<()>().await;
                }
                true
            }
        }
    };
    if is_reset {
        // A connection that is only closed would end an answer without a length.
        let _ = (caller.set_zero_linger(), server.set_zero_linger());
    }
}

/// Copies until one side closes; a stalled direction holds bytes until the link changes. Fails if a side is reset.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        let is_stalled = |link: &Link| {
            matches!(
                (direction, link),
                (Direction::ToTarget, Link::StalledToTarget) | (Direction::FromTarget, Link::StalledFromTarget)
            )
        };
        if link.wait_for(|link| !is_stalled(link)).await.is_err() {
            return Ok(());
        }
        let delay = match *link.borrow() {
            Link::Delayed(time) => time,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        to.write_all(&buf[..len]).await?;
    }
}
