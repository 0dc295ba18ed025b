//! Connections to servers that are given up while bytes are held up on the way.

use std::io::ErrorKind;

use mh_edge::connect_to_server;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Guards against a request that is given up behind a partition and runs when it has ended: the server got all bytes that
/// had been written, and an end of the stream like that of a caller that has sent everything.
#[tokio::test]
async fn held_up_bytes_of_an_abandoned_request_never_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    let stream = connect_to_server(addr).await.expect("the listener accepts");
    let (mut server, _) = listener.accept().await.expect("a connection");
    // The server reads nothing, so that some bytes stay on this side, like those in front of a partition.
    let chunk = vec![b'x'; 64 * 1024];
    let mut written = 0;
    stream.writable().await.expect("an open connection");
    loop {
        match stream.try_write(&chunk) {
            Ok(len) => written += len,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => panic!("{e}"),
        }
        assert!(written < 64 * 1024 * 1024, "the buffers never fill");
    }

    drop(stream);

    let mut arrived = Vec::new();
    let end = server.read_to_end(&mut arrived).await;
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    assert!(arrived.len() < written, "{} of {written}", arrived.len());
}
