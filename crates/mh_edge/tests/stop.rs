//! Shutdown of a caller port while connections are waiting to be accepted.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use mh_edge::{PortLimits, ResponseBody, serve_with};
use tokio::net::TcpListener;

/// Guards against a shutdown that resets connections in the listener backlog, which may already carry requests.
#[tokio::test]
async fn shutdown_answers_requests_in_the_accept_backlog() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = serve_with(listener, PortLimits::default, |_req| async {
        Response::new(ResponseBody::buffered(Bytes::from_static(b"done")))
    });
    let server = server.unwrap();
    // The server task does not run before the first `await` of this thread, so the connections stay in the backlog.
    let callers: Vec<std::net::TcpStream> = (0..10)
        .map(|_| {
            let mut stream = std::net::TcpStream::connect(server.addr()).unwrap();
            stream
                .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                .unwrap();
            stream
        })
        .collect();

    let all_ended = server.shutdown(Duration::from_secs(5)).await;

    assert!(all_ended);
    for mut stream in callers {
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("done"),
            "{read:?} {answer}"
        );
    }
}
