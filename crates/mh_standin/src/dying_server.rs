use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Wait between two attempts to bind the port again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Backend server on loopback that crashes when it begins to run a request whose path contains a given text.
///
/// A crash resets all its connections; the server is back at the same address after some time.
#[derive(Debug)]
pub struct DyingServer {
    addr: SocketAddr,
    crashes: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl DyingServer {
    /// Starts a server on a free port that crashes under requests with `deadly` in their path, and is down for
    /// `down_for` each time.
    ///
    /// # Errors
    ///
    /// The error of binding a loopback port.
    pub async fn start(deadly: &'static str, down_for: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let crashes = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(run(listener, addr, deadly, down_for, Arc::clone(&crashes)));
        Ok(Self { addr, crashes, task })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

impl Drop for DyingServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    mut listener: TcpListener,
    addr: SocketAddr,
    deadly: &'static str,
    down_for: Duration,
    crashes: Arc<AtomicUsize>,
) {
    loop {
        let (crash, mut crashed) = mpsc::channel(1);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    connections.spawn(serve(stream, deadly, crash.clone()));
                }
                _ = crashed.recv() => break,
            }
        }
        crashes.fetch_add(1, Ordering::SeqCst);
        drop(listener);
        connections.shutdown().await;
        tokio::time::sleep(down_for).await;
        listener = loop {
            match TcpListener::bind(addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
            }
        };
    }
}

/// Answers the requests of one connection, which have no bodies.
async fn serve(mut stream: TcpStream, deadly: &'static str, crash: mpsc::Sender<()>) {
    let mut buf = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let Ok(len @ 1..) = stream.read(&mut chunk).await else {
            return;
        };
        buf.extend_from_slice(&chunk[..len]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        if head.lines().next().is_some_and(|line| line.contains(deadly)) {
            let _ = crash.send(()).await;
            return std::future::pending().await;
        }
        let id = head
            .lines()
            .find(|line| line.to_ascii_lowercase().starts_with("mangohook-request-id:"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}\r\ncontent-length: 2\r\n\r\nok",
            id.unwrap_or("x: y")
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        buf.clear();
    }
}
