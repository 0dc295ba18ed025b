//! Pipelined requests through a gateway, as seen by callers and backend servers.

mod fixtures;
mod harness;

use std::time::Duration;

use harness::{GatewayHarness, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const SLOW: Reply = Reply::Later(
    "",
    Duration::from_millis(300),
    "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone",
);

fn request(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\nmangohook-request-id: q{path}\r\n{headers}\r\n")
}

/// Reads responses until there are `count`; returns their statuses in order.
async fn statuses(stream: &mut tokio::net::TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let lines = text.lines().filter(|line| line.contains("HTTP/1.1 "));
        let found: Vec<String> = lines
            .filter_map(|line| Some(line.split("HTTP/1.1 ").nth(1)?.get(..3)?.to_owned()))
            .collect();
        if found.len() >= count && (text.ends_with("done") || text.ends_with('}')) {
            return found;
        }
        let len = stream.read(&mut buf).await.expect("the gateway answers");
        assert!(len > 0, "the connection ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
}

async fn wait_until(mut is_reached: impl FnMut() -> bool) {
    while !is_reached() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against running pipelined requests of an idempotent route one after another.
#[tokio::test]
async fn idempotent_requests_reach_servers_before_the_first_answer() {
    let harness = GatewayHarness::start(&[Reply::Hang; 4]).await;
    let mut caller = harness.connect().await;
    let sent: String = (0..4).map(|n| request("GET", &format!("/safe/{n}"), "")).collect();

    caller.write_all(sent.as_bytes()).await.unwrap();

    wait_until(|| harness.seen().len() == 4).await;
    assert_eq!(harness.gateway.pipeline_load().started(), 3);
    drop(caller);
    // The caller has left, so every request is cancelled.
    wait_until(|| harness.abandoned() == 4).await;
}

/// Guards against answers that are lost or out of order, and against non-idempotent requests that overtake others.
#[tokio::test]
async fn mixed_requests_are_answered_in_order() {
    let harness = GatewayHarness::start(&[SLOW; 2]).await;
    let mut caller = harness.connect().await;
    let sent = request("GET", "/safe/1", "")
        + &request("GET", "/safe/2", "")
        + &request("GET", "/nowhere/3", "")
        + &request("POST", "/pay/4", "content-length: 2\r\n")
        + "xx"
        + &request("GET", "/safe/5", "");

    caller.write_all(sent.as_bytes()).await.unwrap();

    assert_eq!(statuses(&mut caller, 5).await, ["200", "200", "404", "200", "200"]);
    let seen = harness.seen();
    let order: Vec<&str> = seen.iter().filter_map(|head| head.split(' ').nth(1)).collect();
    assert_eq!(order[2..], ["/pay/4", "/safe/5"], "{seen:?}");
}

/// Guards against a large answer that is cut or mixed with others while it waits for its turn.
#[tokio::test]
async fn large_answer_waits_for_its_turn() {
    const LARGE_BYTES: usize = 1_500_000;
    let head = "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\n";
    let large = format!("{head}content-length: {LARGE_BYTES}\r\n\r\n{}", "x".repeat(LARGE_BYTES));
    let large = Reply::Keep(Box::leak(large.into_boxed_str()));
    let harness = GatewayHarness::start(&[SLOW, large, large]).await;
    let mut caller = harness.connect().await;
    let sent: String = (0..4).map(|n| request("GET", &format!("/safe/{n}"), "")).collect();
    let sent = sent.replace(
        "GET /safe/3 HTTP/1.1\r\n",
        "GET /safe/3 HTTP/1.1\r\nconnection: close\r\n",
    );

    caller.write_all(sent.as_bytes()).await.unwrap();

    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let lengths: Vec<usize> = text
        .split("HTTP/1.1 200 OK")
        .skip(1)
        .map(|answer| answer.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len()))
        .collect();
    let mut sorted = lengths.clone();
    sorted.sort_unstable();
    assert_eq!((lengths[3], sorted), (4, vec![4, 4, LARGE_BYTES, LARGE_BYTES]));
}

/// Guards against a deadline that starts only when the requests ahead are answered.
#[tokio::test]
async fn deadline_counts_from_the_arrival() {
    let harness = GatewayHarness::start(&[SLOW]).await;
    let mut caller = harness.connect().await;
    let sent = request("GET", "/safe/1", "") + &request("POST", "/pay/2", "mangohook-deadline-ms: 100\r\n");

    caller.write_all(sent.as_bytes()).await.unwrap();

    let statuses = statuses(&mut caller, 2).await;
    assert_eq!(statuses[0], "200");
    assert_ne!(statuses[1], "200");
    assert_eq!(harness.seen().len(), 1, "the second must not reach a server");
}

/// Guards against requests that are started while the VM shuts down: their connection closes, and the caller sends them
/// again elsewhere.
#[tokio::test]
async fn leaving_vm_starts_no_further_requests() {
    let harness = GatewayHarness::start(&[SLOW; 3]).await;
    let mut caller = harness.connect().await;
    let first = request("GET", "/safe/1", "") + &request("GET", "/safe/2", "");
    caller.write_all(first.as_bytes()).await.unwrap();
    wait_until(|| harness.seen().len() == 2).await;

    harness.gateway.leave(Instant::now() + Duration::from_secs(10));
    caller
        .write_all(request("GET", "/safe/3", "").as_bytes())
        .await
        .unwrap();

    let answer = GatewayHarness::answer(caller).await;
    let text = format!("{}{}", answer.head, answer.body);
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    assert!(answer.body.contains("connection: close"), "{text}");
    assert_eq!(harness.seen().len(), 2);
}

/// Guards against a time limit of one response head that is still in force for the next request on the connection to the
/// server: a slower request is then sent to another server as well.
#[tokio::test]
async fn head_timeout_does_not_outlast_its_response() {
    for _ in 0..4 {
        let harness = GatewayHarness::start_with_one_server(&[harness::OK, SLOW]).await;
        let mut caller = harness.connect().await;
        // The second is not started early, and follows at once on the same connection to the server.
        let sent = request("POST", "/pay/1", "") + &request("GET", "/safe/2", "");

        caller.write_all(sent.as_bytes()).await.unwrap();

        assert_eq!(statuses(&mut caller, 2).await, ["200", "200"]);
        assert_eq!(harness.seen().len(), 2);
    }
}
