use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does to the bytes that pass it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Sound,
    /// Every piece arrives this much later.
    Delayed(Duration),
    /// Nothing reaches the target.
    CutThere,
    /// Nothing comes back from the target.
    CutBack,
    /// New connections are closed at once.
    Closed,
}

/// A loopback proxy in front of one address, whose link can be harmed.
pub struct Proxy {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    /// What happened last to the connections that were open, and how often something did.
    open: watch::Sender<(u64, Open)>,
}

/// What happens to open connections while new ones work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Open {
    Kept,
    /// They transport nothing more, and nobody is told.
    Silenced,
    Reset,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let (link, open) = (watch::Sender::new(Link::Sound), watch::Sender::new((0, Open::Kept)));
        let (links, opens) = (link.clone(), open.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *links.borrow() == Link::Closed {
                    continue;
                }
                tokio::spawn(pass(stream, target, links.subscribe(), opens.subscribe()));
            }
        });
        Self { addr, link, open }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Does this to the connections that are open now.
    pub fn set_open(&self, what: Open) {
        self.open
            .send_modify(|(count, open)| (*count, *open) = (*count + 1, what));
    }
}

async fn pass(
    caller: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<Link>,
    mut open: watch::Receiver<(u64, Open)>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    open.mark_unchanged();
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let both = async {
        tokio::join!(
            copy(from_caller, to_server, link.clone(), Way::There),
            copy(from_server, to_caller, link, Way::Back)
        );
    };
    tokio::pin!(both);
    tokio::select! {
        () = &mut both => {}
        _ = open.changed() => {
            if open.borrow().1 == Open::Silenced {
                // Both ends stay open and hear nothing until the test ends.
                std::future::pending::<()>().await;
            }
            // Dropping the connections with bytes unread resets them.
        }
    }
}

/// Copies until either side ends; a cut way holds the bytes back until it is healed.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut link: watch::Receiver<Link>, way: Way) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let Ok(len @ 1..) = from.read(&mut buf).await else {
            let _ = to.shutdown().await;
            return;
        };
        let is_cut = |link: &Link| matches!((way, link), (Way::There, Link::CutThere) | (Way::Back, Link::CutBack));
        if link.wait_for(|link| !is_cut(link)).await.is_err() {
            return;
        }
        let delay = match *link.borrow() {
            Link::Delayed(time) => time,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
