//! Ends of a tunnel, as the VM that uses it sees them.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const FRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nmangohook-tunnel: frames\r\n\r\n";

/// Answer of a VM whose version knows no frames.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// How the other VM ends the connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// As a killed process does, and one that closes its connections when it exits.
    Close,
    Reset,
}

/// Opens a tunnel through a VM that answers with `head`, sends `bytes` and ends the connection. Returns what was read,
/// and the error at its end.
async fn read_tunnel(head: &'static str, bytes: &'static [u8], end: End) -> (Vec<u8>, Option<ErrorKind>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut req = [0; 4096];
        let len = stream.read(&mut req).await.expect("a request");
        let req = String::from_utf8_lossy(&req[..len]).into_owned();
        assert!(req.contains("mangohook-tunnel: frames"), "{req}");
        stream.write_all(head.as_bytes()).await.expect("the VM reads");
        // The bytes must leave the socket before a reset.
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(bytes).await.expect("the VM reads");
        tokio::time::sleep(Duration::from_millis(20)).await;
        if matches!(end, End::Reset) {
            stream.set_zero_linger().expect("a socket");
        }
    });
    let mut stream = open_tunnel(addr, &"s1".into(), addr).await.expect("a tunnel");
    let mut read = Vec::new();
    let ended = stream.read_to_end(&mut read).await;
    (read, ended.err().map(|e| e.kind()))
}

/// Guards against an answer that looks complete although the VM that passed it on was killed, stopped or reset.
#[tokio::test]
async fn only_a_marked_end_of_a_tunnel_is_an_end() {
    for end in [End::Close, End::Reset] {
        for bytes in [&b""[..], b"\0", b"\0\x04ha", b"\0\x04half"] {
            let (_, error) = read_tunnel(FRAMED_HEAD, bytes, end).await;

            assert!(error.is_some(), "{end:?} after {bytes:?}");
        }
    }

    let (read, error) = read_tunnel(FRAMED_HEAD, b"\0\x04half\0\x01 \0\x04more\0\0", End::Close).await;

    assert_eq!((read.as_slice(), error), (&b"half more"[..], None));
}

/// Guards against the same for a VM of an earlier version, whose end never says anything about the server.
#[tokio::test]
async fn no_end_of_a_tunnel_without_frames_is_an_end() {
    for end in [End::Close, End::Reset] {
        let (read, error) = read_tunnel(UNFRAMED_HEAD, b"half", end).await;

        assert!(error.is_some(), "{end:?} after {read:?}");
    }
}

/// Guards against a VM that keeps what another VM sends without end.
#[tokio::test]
async fn a_frame_beyond_the_limit_is_an_error() {
    let (read, error) = read_tunnel(FRAMED_HEAD, b"\xff\xffaaaa", End::Close).await;

    assert!(read.is_empty());
    assert!(error.is_some());
}

/// Guards against a VM that reads on without end what another VM sends instead of opening a tunnel.
#[tokio::test]
async fn endless_answers_of_a_vm_are_not_read_on() {
    let answers = [
        ("", "no answer "),
        ("HTTP/1.1 200 OK\r\n", "x-more: y\r\n"),
        ("HTTP/1.1 200 OK\r\nx-long: ", "yyyyyyyyyyyyyyyy"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 503 Busy\r\n\r\n", "body"),
        ("HTTP/1.1 200 OK\r\nmangohook-tunnel: frames\r\n\r\n", "\0\x04body"),
        ("HTTP/1.1 200 OK\r\n\r\n", "body"),
    ];
    for (start, more) in answers {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let vm = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 4096]).await;
            let more = more.repeat(8 * 1024 / more.len());
            let mut sent = stream.write_all(start.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(more.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });

        let server = "s1".into();
        let opened = tokio::time::timeout(Duration::from_millis(250), open_tunnel(addr, &server, addr)).await;
        drop(opened);

        let closed = tokio::time::timeout(Duration::from_mins(1), vm).await;
        assert!(closed.is_ok(), "{start:?} {more:?}: the connection stays open");
    }
}
