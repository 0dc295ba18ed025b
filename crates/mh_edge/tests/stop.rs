//! The stop of a port under load.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use mh_edge::{AnswerBody, PortLimits, serve_with};
use tokio::net::TcpListener;

/// Guards against cutting off a request that a caller has sent on a connection that was not accepted yet.
#[tokio::test]
async fn requests_that_wait_to_be_accepted_are_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = serve_with(listener, PortLimits::default, |_req| async {
        Response::new(AnswerBody::whole(Bytes::from_static(b"done")))
    });
    let server = server.unwrap();
    // Nothing of this thread runs until the first wait, so the connections stay in the queue of the listener.
    let callers: Vec<std::net::TcpStream> = (0..10)
        .map(|_| {
            let mut stream = std::net::TcpStream::connect(server.addr()).unwrap();
            stream
                .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                .unwrap();
            stream
        })
        .collect();

    let is_whole = server.shutdown(Duration::from_secs(5)).await;

    assert!(is_whole);
    for mut stream in callers {
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("done"),
            "{read:?} {answer}"
        );
    }
}
