//! Peers that send malformed data, disconnect or never answer.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Once};
use std::time::Duration;

use bytes::Bytes;
use mh_peer::{BoxFuture, Changes, Exchange, Hello, Operation, OperationAnswer, PROTOCOL, Part, PeerHandler, PeerNet};
use mh_types::{Code, Incarnation, Revision, Run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for an expected event; it only keeps a hanging test from running forever.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the received parts of an exchange.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn exchange(&self, exchange: Exchange) -> Exchange {
        Exchange {
            from: hello("answerer"),
            parts: exchange.parts,
        }
    }

    fn changes(&self, since: Revision) -> Changes {
        Changes {
            revision: since,
            whole: false,
            rows: Vec::new(),
        }
    }

    fn operate(&self, _: Operation) -> BoxFuture<OperationAnswer> {
        Box::pin(async {
            OperationAnswer::Refused {
                code: Code::NoRoute,
                run: Run::NotRun,
            }
        })
    }
}

fn hello(vm: &str) -> Hello {
    Hello {
        protocol: PROTOCOL,
        vm: vm.into(),
        incarnation: Incarnation(1),
        domain: "a".into(),
    }
}

fn start_echo_peer() -> (PeerNet, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (PeerNet::start(listener, Arc::new(EchoHandler)).unwrap(), addr)
}

static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LogCollector;

impl log::Log for LogCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOG_LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn collect_log_lines() {
    static INIT: Once = Once::new();
    INIT.call_once(|| {
        log::set_logger(&LogCollector).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

async fn wait_until_closed(stream: &mut TcpStream) {
    let read = tokio::time::timeout(HANG_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
    let _ = read.expect("the connection ends");
}

/// Guards against malformed bytes on the peer port that stop it from serving others or are not logged.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_are_logged_and_other_peers_are_served() {
    collect_log_lines();
    let (net, addr) = start_echo_peer();
    let partial_message = [0, 0, 0, 0, 16, 0, 0, 0, 0, 0, 0, 0];
    let bad: [&[u8]; 4] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 4096], &[0; 64], b""];

    let _incomplete = {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(&partial_message).await.unwrap();
        stream
    };
    for bytes in bad {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown().await;
        wait_until_closed(&mut stream).await;
    }
    let answer = net.exchange(addr, hello("asker"), Vec::new()).await.unwrap();

    assert_eq!(answer.from, hello("answerer"));
    assert!(LOG_LINES.lock().unwrap().iter().any(|line| line.starts_with("E602 ")));
}

/// Guards against messages that only newer VMs know making an exchange with an older VM fail.
#[tokio::test(flavor = "multi_thread")]
async fn parts_of_an_unknown_kind_are_accepted() {
    let (net, addr) = start_echo_peer();
    let parts = vec![Part {
        kind: 60_000,
        body: Bytes::from_static(b"\xff\x00"),
    }];

    let answer = net.exchange(addr, hello("asker"), parts.clone()).await.unwrap();

    assert_eq!(answer.parts, parts);
}

/// Guards against a message with too many parts that is accepted, or that makes the next exchange fail.
#[tokio::test(flavor = "multi_thread")]
async fn too_many_parts_are_refused() {
    let (net, addr) = start_echo_peer();
    let part = Part {
        kind: 1,
        body: Bytes::new(),
    };

    let refused = net.exchange(addr, hello("asker"), vec![part; 5000]).await;
    let next = net.exchange(addr, hello("asker"), Vec::new()).await;

    assert_eq!(refused.unwrap_err(), Code::PeerMessageInvalid);
    assert!(next.is_ok());
}

/// Guards against a silent or broken peer that blocks calls to others, or leaves a connection open after each call.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_silent_or_broken_peers_fail_and_close_the_connection() {
    let (net, good) = start_echo_peer();
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let broken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (to_silent, to_broken) = (silent.local_addr().unwrap(), broken.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = broken.accept().await {
            let _ = stream.write_all(&[0xff; 64]).await;
        }
    });

    let waiting = tokio::spawn({
        let net = net.clone();
        async move { net.exchange(to_silent, hello("asker"), Vec::new()).await }
    });
    let (mut stream, _) = silent.accept().await.unwrap();
    let others = net.exchange(good, hello("asker"), Vec::new()).await;
    let broken = net.exchange(to_broken, hello("asker"), Vec::new()).await;
    let refused = net.exchange(closed, hello("asker"), Vec::new()).await;
    let silent = waiting.await.unwrap();
    wait_until_closed(&mut stream).await;

    assert!(others.is_ok());
    assert!(matches!(broken, Err(Code::PeerMessageInvalid | Code::PeerUnreachable)));
    assert_eq!(refused.unwrap_err(), Code::PeerUnreachable);
    assert_eq!(silent.unwrap_err(), Code::PeerUnreachable);
}
