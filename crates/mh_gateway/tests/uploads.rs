//! Request bodies: large, slow, refused early, and many concurrent ones.

mod fixtures;
mod harness;

use harness::{BUFFER_LIMIT_BYTES, GatewayHarness, OK, Reply, SHED, head};
use tokio::io::AsyncWriteExt;

/// Size of a body that is buffered, so that it can be sent again.
const BUFFERED_BYTES: usize = 200 * 1024;
/// Size of a body that is streamed.
const STREAMED_BYTES: usize = 2 * 1024 * 1024;

const EARLY_REFUSAL: Reply =
    Reply::Early("HTTP/1.1 503 Busy\r\nmangohook-request-id: ID\r\nmangohook-not-run: 1\r\ncontent-length: 0\r\n\r\n");

/// Guards against making the caller send an upload again that the first server did not run.
#[tokio::test]
async fn buffered_upload_is_retried_on_second_server() {
    let harness = GatewayHarness::start(&[SHED]).await;

    let answer = harness.upload("/send/x", BUFFERED_BYTES).await;

    assert_eq!((answer.status, harness.seen().len()), (200, 2));
    assert_eq!(harness.gateway.held_bytes(), 0);
}

/// Guards against running an upload twice.
#[tokio::test]
async fn upload_that_may_have_run_is_sent_once() {
    let harness = GatewayHarness::start(&[Reply::Close("")]).await;

    let answer = harness.upload("/send/x", BUFFERED_BYTES).await;

    assert_eq!((answer.status, harness.seen().len()), (502, 1));
}

/// Guards against losing the refusal of a long body to a connection reset, and against a refusal that does not state
/// that the request has not run.
#[tokio::test]
async fn early_refusal_of_long_upload_reaches_caller() {
    for reply in [SHED, EARLY_REFUSAL] {
        let harness = GatewayHarness::start_with_one_server(&[reply]).await;

        let answer = harness.upload("/send/x", STREAMED_BYTES).await;

        assert_eq!((answer.status, harness.seen().len()), (503, 1), "{answer:?}");
        assert!(answer.body.contains("\"run\":\"not-run\""), "{answer:?}");
    }
}

/// Guards against sending the next request on a connection whose server answered early and still expects the rest of a
/// body.
#[tokio::test]
async fn connection_with_unsent_body_is_not_reused() {
    let harness = GatewayHarness::start_with_one_server(&[EARLY_REFUSAL, OK]).await;
    let mut stream = harness.connect().await;
    let text = head("POST", "/send/x") + &format!("content-length: {STREAMED_BYTES}\r\n\r\n0123456789");
    stream.write_all(text.as_bytes()).await.unwrap();
    let refused = GatewayHarness::answer(stream).await;

    let answer = harness.get("/safe/x").await;

    assert_eq!((refused.status, answer.status, harness.connections()), (503, 200, 2));
    assert!(harness.seen()[1].starts_with("GET /safe/x "), "{:?}", harness.seen());
}

/// Guards against losing a refusal because the VM did not read the body of the request.
#[tokio::test]
async fn refusal_before_body_reaches_caller() {
    for (path, status) in [("/keyed/x", 401), ("/nowhere/x", 404)] {
        let harness = GatewayHarness::start(&[]).await;

        let answer = harness.upload(path, 500 * 1024).await;

        assert_eq!(answer.status, status, "{answer:?}");
    }
}

/// Guards against a caller that stalls while it sends its body and holds memory beyond the timeout of its route.
#[tokio::test]
async fn stalled_upload_is_refused_at_timeout() {
    let harness = GatewayHarness::start(&[]).await;
    let mut stream = harness.connect().await;
    let text = head("POST", "/send/x") + "content-length: 1000\r\n\r\nhalf";
    stream.write_all(text.as_bytes()).await.unwrap();

    let answer = GatewayHarness::answer(stream).await;

    assert_eq!((answer.status, harness.seen().len()), (408, 0));
    assert!(answer.body.contains("\"run\":\"not-run\""), "{answer:?}");
    assert_eq!(harness.gateway.held_bytes(), 0);
}

/// Guards against concurrent bodies exceeding the memory limit; bodies that do not fit are streamed.
#[tokio::test]
async fn concurrent_uploads_stay_within_memory_limit() {
    let harness = GatewayHarness::start(&[]).await;
    let mut streams = Vec::new();
    for _ in 0..20 {
        let mut stream = harness.connect().await;
        let text = head("POST", "/send/x") + &format!("content-length: {BUFFERED_BYTES}\r\n\r\nhalf");
        stream.write_all(text.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    let mut max_held = 0;
    while harness
        .gateway
        .counters()
        .running
        .load(std::sync::atomic::Ordering::Relaxed)
        < 20
    {
        max_held = max_held.max(harness.gateway.held_bytes());
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    max_held = max_held.max(harness.gateway.held_bytes());

    let mut statuses = Vec::new();
    for stream in streams {
        statuses.push(GatewayHarness::answer(stream).await.status);
    }

    assert!(max_held > 0 && max_held <= BUFFER_LIMIT_BYTES, "{max_held}");
    // The server has received the heads of streamed requests, so that it is unknown whether they ran.
    assert!(
        statuses.iter().all(|status| [408, 504].contains(status)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&408) && statuses.contains(&504), "{statuses:?}");
    assert_eq!(harness.gateway.held_bytes(), 0);
}

/// Guards against 408, which promises that the request has not run, for a streamed body that its caller breaks off after a
/// server has received the first part of it.
#[tokio::test]
async fn broken_body_promises_nothing_once_a_server_may_have_begun() {
    for path in ["/send/x", "/pay/x", "/safe/x"] {
        let harness = GatewayHarness::start_with_one_server(&[Reply::Hang]).await;
        let mut stream = harness.connect().await;
        let text = head("POST", path) + "transfer-encoding: chunked\r\n\r\n5\r\norder\r\n";
        stream.write_all(text.as_bytes()).await.unwrap();
        while harness.seen().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }

        stream.write_all(b"no length of a chunk\r\n").await.unwrap();
        let answer = GatewayHarness::answer(stream).await;

        assert_eq!(answer.status, 502, "{path} {answer:?}");
        assert!(answer.body.contains("\"code\":1026"), "{path} {answer:?}");
        assert!(answer.body.contains("\"run\":\"unknown\""), "{path} {answer:?}");
    }
}

/// Guards against dropping the body of a request, or its framing, for methods that rarely have one: the server would run
/// another request than the caller sent.
#[tokio::test]
async fn body_and_framing_arrive_with_every_method() {
    let framings = [
        ("content-length: 0", ""),
        ("content-length: 10", "0123456789"),
        ("transfer-encoding: chunked", "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "0\r\n\r\n"),
    ];
    for method in [
        "GET", "HEAD", "DELETE", "OPTIONS", "PATCH", "POST", "PUT", "QUERY", "TRACE",
    ] {
        for (framing, body) in framings {
            let harness = GatewayHarness::start_with_one_server(&[OK]).await;
            let mut stream = harness.connect().await;
            let text = format!("{}{framing}\r\n\r\n{body}", head(method, "/safe/x?q=1"));
            stream.write_all(text.as_bytes()).await.unwrap();

            let answer = GatewayHarness::answer(stream).await;

            let seen = harness.seen();
            assert_eq!((answer.status, seen.len()), (200, 1), "{method} {framing}: {answer:?}");
            assert!(seen[0].starts_with(&format!("{method} /safe/x?q=1 ")), "{seen:?}");
            assert_eq!(seen[0].matches(framing).count(), 1, "{method} {framing}: {seen:?}");
            let other = if framing.starts_with('c') {
                "transfer-encoding"
            } else {
                "content-length"
            };
            assert!(!seen[0].contains(other), "{method} {framing}: {seen:?}");
            // Chunks may be divided in another way.
            let digits = |text: &str| text.replace("5\r\n", "").replace("\r\n", "");
            let received = harness.bodies().concat().replace("a\r\n", "");
            assert_eq!(digits(&received), digits(body), "{method} {framing}");
        }
    }
}
