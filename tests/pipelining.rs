//! Pipelined requests through `mangohook run`.

mod support;

use std::time::Duration;

use support::{ORDER_PATH, STOCK_PATH, TestSystem, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against a `mangohook run` that serves pipelined idempotent requests one after another, or lets an at-most-once
/// request overtake them.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_run_together_and_operations_wait() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    system.backend().faults().set_delay(Duration::from_millis(700));
    let mut caller = TcpStream::connect(system.vm(0).caller).await.unwrap();
    let head = |method: &str, path: &str, headers: &str| {
        format!("{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n{headers}\r\n")
    };
    let reads: String = (0..3).map(|n| head("GET", &format!("{STOCK_PATH}/{n}"), "")).collect();
    let order = head("POST", ORDER_PATH, "content-length: 0\r\n");

    caller.write_all((reads + &order).as_bytes()).await.unwrap();
    wait_until("all reads have reached the server", async || {
        system.received_requests().len() == 3
    })
    .await;

    // None of them is answered yet.
    let mut buf = [0; 4096];
    assert!(
        caller
            .try_read(&mut buf)
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    );
    let mut text = String::new();
    // The order has no operation id and is refused in its turn.
    while text.matches("HTTP/1.1 ").count() < 4 {
        let len = caller.read(&mut buf).await.unwrap();
        assert!(len > 0, "the connection ended: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    let statuses: Vec<&str> = text
        .split("HTTP/1.1 ")
        .skip(1)
        .map(|answer| answer.get(..3).unwrap_or_default())
        .collect();
    assert_eq!(statuses, ["200", "200", "200", "400"]);
    assert_eq!(system.received_requests().len(), 3);
}
