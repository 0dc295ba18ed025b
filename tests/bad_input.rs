//! Invalid or incomplete input from callers, backend servers and the table.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mangohook::platform::{Commit, Expect, Write};
use mh_standin::Caller;
use serde_json::{Value, json};
use support::{ORDER_PATH, STOCK_PATH, TestSystem, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Short timeouts; without a replay buffer, bodies of idempotent requests are streamed.
const SHORT_LIMITS: &str =
    "limits: {header_timeout_ms: 300, body_timeout_ms: 400, write_timeout_ms: 500, max_replay_bytes: 0}\n";
/// Short timeouts for slow readers. The header timeout keeps its default: a busy machine may take longer than a short
/// timeout between connecting and sending, and the VM would then close the connection.
const SLOW_READER_LIMITS: &str = "limits: {body_timeout_ms: 400, write_timeout_ms: 500, max_replay_bytes: 0}\n";
/// Number of bad requests in a row; exceeds the number of failures that mark a backend server as failed.
const BAD_REQUESTS: usize = 12;
/// Length of a long answer; exceeds the capacity of all socket buffers between backend server and caller.
const LONG_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Connects and sends `text` unchanged.
async fn send_raw(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The VM may close the connection during the write.
    let _ = stream.write_all(text.as_bytes()).await;
    stream
}

/// Reads until the connection is closed; fails the test if it stays open.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut buf = Vec::new();
    let read = tokio::time::timeout(Duration::from_mins(1), stream.read_to_end(&mut buf)).await;
    let _ = read.expect("the connection is closed");
    String::from_utf8_lossy(&buf).into_owned()
}

/// Parses the refusal document in the body of an HTTP answer.
fn parse_problem(answer: &str) -> Value {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).unwrap_or_else(|e| panic!("{e}: {answer:?}"))
}

fn request_head(method: &str, path: &str, key: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nconnection: close\r\nauthorization: Bearer {key}\r\n{headers}\r\n"
    )
}

/// Failures that the VM counts against the backend server.
async fn server_failures(system: &TestSystem) -> u64 {
    let dump = Caller::new(None)
        .get(system.vm(0).admin, "/v1/dump")
        .await
        .unwrap()
        .json();
    dump["backends"]["shop/stock"]["servers"][0]["failed"].as_u64().unwrap()
}

/// Waits until the VM has noticed the closed connections and has released the server's slots.
async fn wait_until_idle(system: &TestSystem) {
    wait_until("no request is in flight", async || {
        let dump = Caller::new(None)
            .get(system.vm(0).admin, "/v1/dump")
            .await
            .unwrap()
            .json();
        dump["backends"]["shop/stock"]["servers"][0]["in_flight"] == 0
    })
    .await;
}

/// Point at which a plain backend server closes a kept-alive connection.
#[derive(Clone, Copy, PartialEq)]
enum CloseBehaviour {
    Never,
    AfterAnswer,
    AtSecondRequest,
}

/// Connection number and target of each request that a backend server received.
type RequestLog = Arc<Mutex<Vec<(usize, String)>>>;

/// Starts a backend server that closes connections as `close` says and records the connection number and target of
/// each request.
async fn plain_backend(close: CloseBehaviour) -> (SocketAddr, RequestLog) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let seen = Arc::clone(&log);
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(plain_connection(stream, number, close, Arc::clone(&seen)));
        }
    });
    (addr, log)
}

async fn plain_connection(mut stream: TcpStream, number: usize, close: CloseBehaviour, log: RequestLog) -> Option<()> {
    for answered in 0.. {
        let mut text = String::new();
        while !text.contains("\r\n\r\n") {
            let mut buf = [0; 4096];
            let n = stream.read(&mut buf).await.ok().filter(|n| *n > 0)?;
            text.push_str(&String::from_utf8_lossy(&buf[..n]));
        }
        if close == CloseBehaviour::AtSecondRequest && answered > 0 {
            return None;
        }
        let target = text.split(' ').nth(1)?.to_owned();
        log.lock().unwrap().push((number, target.clone()));
        let body = if target.contains("long") {
            "x".repeat(LONG_ANSWER_BYTES)
        } else {
            target
        };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await.ok()?;
        if close == CloseBehaviour::AfterAnswer {
            return None;
        }
    }
    None
}

async fn system_with_plain_backend(extra: &str, close: CloseBehaviour) -> (TestSystem, Caller, String, RequestLog) {
    let system = TestSystem::start_with(1, extra).await;
    let key = system.grant_key("orchard", "till").await;
    let (addr, log) = plain_backend(close).await;
    let server = json!({"name": "s1", "addr": addr, "domain": "a", "slots": 1000, "connections": 3000});
    let reply = system
        .set("/teams/shop/services/stock", &json!({"servers": [server]}))
        .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let caller = Caller::new(Some(&key));
    (system, caller, key, log)
}

/// Guards against connections with no or incomplete request heads that use up the connection limit forever.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_incomplete_heads_are_closed() {
    let system = TestSystem::start_with(1, "limits: {header_timeout_ms: 300, max_connections: 4}\n").await;
    let key = system.grant_key("orchard", "till").await;
    let addr = system.vm(0).caller;

    let mut half = Vec::new();
    for text in ["", "PRI * HTTP/2.0\r\n", "GET /stock HTTP/1.1\r\nho", "G"] {
        half.push(send_raw(addr, text).await);
    }
    for stream in half {
        read_to_end(stream).await;
    }
    let answer = Caller::new(Some(&key)).get(addr, STOCK_PATH).await.unwrap();

    assert_eq!(answer.status, 200);
    assert_eq!(system.received_requests().len(), 1);
}

/// Guards against an incomplete body whose request runs, hangs or marks the backend server as failed.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_bodies_do_not_affect_other_requests() {
    let system = TestSystem::start_with(1, SHORT_LIMITS).await;
    let key = system.grant_key("orchard", "till").await;
    let addr = system.vm(0).caller;
    let half =
        |path, headers| request_head("POST", path, &key, &format!("content-length: 100\r\n{headers}")) + "0123456789";

    let order = parse_problem(&read_to_end(send_raw(addr, &half(ORDER_PATH, "idempotency-key: a\r\n")).await).await);
    let mut stock = Vec::new();
    for _ in 0..BAD_REQUESTS {
        stock.push(send_raw(addr, &half(STOCK_PATH, "")).await);
    }
    // The server received the beginning of these bodies, so that nothing promises that the requests have not run.
    for stream in stock {
        let problem = parse_problem(&read_to_end(stream).await);
        assert_eq!(
            (&problem["code"], &problem["status"], &problem["run"]),
            (&json!(1026), &json!(502), &json!("unknown"))
        );
    }
    for _ in 0..BAD_REQUESTS {
        drop(send_raw(addr, &half(STOCK_PATH, "")).await);
    }
    wait_until_idle(&system).await;
    let good = Caller::new(Some(&key)).get(addr, STOCK_PATH).await.unwrap();

    assert_eq!((&order["code"], &order["run"]), (&json!(1008), &json!("not-run")));
    assert_eq!(good.status, 200, "{}", good.text());
    assert_eq!(system.received_requests().len(), 1);
    assert_eq!(server_failures(&system).await, 0);
}

/// Guards against a chunked body over the route's limit whose request runs or marks the backend server as failed.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_do_not_affect_other_requests() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    let route = json!({"service": "stock", "path": ORDER_PATH, "execution": "at-most-once", "max_body_bytes": 2000});
    assert_eq!(system.set("/teams/shop/routes/order", &route).await.status, 200);
    let addr = system.vm(0).caller;
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    let long = |path, headers: &str| {
        request_head("POST", path, &key, &format!("transfer-encoding: chunked\r\n{headers}"))
            + &chunk.repeat(3)
            + "0\r\n\r\n"
    };

    let order = parse_problem(&read_to_end(send_raw(addr, &long(ORDER_PATH, "idempotency-key: a\r\n")).await).await);
    for _ in 0..BAD_REQUESTS {
        assert_eq!(
            parse_problem(&read_to_end(send_raw(addr, &long(STOCK_PATH, "")).await).await)["code"],
            1006
        );
    }
    let good = Caller::new(Some(&key)).get(addr, STOCK_PATH).await.unwrap();

    assert_eq!((&order["code"], &order["run"]), (&json!(1006), &json!("not-run")));
    assert_eq!(good.status, 200, "{}", good.text());
    assert_eq!(system.received_requests().len(), 1);
    assert_eq!(server_failures(&system).await, 0);
}

/// Guards against headers over the parser's limit that reach a server or block other requests.
#[tokio::test(flavor = "multi_thread")]
async fn headers_over_the_parser_limit_close_the_connection() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    let addr = system.vm(0).caller;
    let flood = request_head(
        "GET",
        STOCK_PATH,
        &key,
        &format!("x-flood: {}\r\n", "x".repeat(200_000)),
    );

    let answer = read_to_end(send_raw(addr, &flood).await).await;
    let good = Caller::new(Some(&key)).get(addr, STOCK_PATH).await.unwrap();

    // Closing with unread input resets the connection, which may discard the answer.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431 "), "{answer}");
    assert_eq!(good.status, 200);
    assert_eq!(system.received_requests().len(), 1);
}

/// Guards against passing the rest of an abandoned answer to the next caller.
#[tokio::test(flavor = "multi_thread")]
async fn the_backend_connection_of_an_aborted_request_is_not_reused() {
    let (system, caller, key, log) = system_with_plain_backend("", CloseBehaviour::Never).await;
    let addr = system.vm(0).caller;

    let mut stream = send_raw(addr, &request_head("GET", "/stock/long", &key, "")).await;
    let mut start = [0; 1000];
    stream.read_exact(&mut start).await.unwrap();
    drop(stream);
    for n in 0..BAD_REQUESTS {
        let path = format!("/stock/{n}");
        assert_eq!(caller.get(addr, &path).await.unwrap().text(), path);
    }

    let log = log.lock().unwrap();
    let long = log.iter().find(|(_, target)| target == "/stock/long").unwrap().0;
    assert_eq!(log.iter().filter(|(number, _)| *number == long).count(), 1, "{log:?}");
}

/// Guards against a caller that does not read its answer and thereby blocks other requests, or occupies its backend
/// connection forever.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_does_not_block_others() {
    let (system, _, key, _) = system_with_plain_backend(SLOW_READER_LIMITS, CloseBehaviour::Never).await;
    let addr = system.vm(0).caller;

    let mut slow = Vec::new();
    for _ in 0..BAD_REQUESTS {
        slow.push(send_raw(addr, &request_head("GET", "/stock/long", &key, "")).await);
    }
    for n in 0..BAD_REQUESTS {
        let path = format!("/stock/{n}");
        let began = tokio::time::Instant::now();
        let answer = Caller::new(Some(&key)).get(addr, &path).await;
        let answer = answer.unwrap_or_else(|e| panic!("request {n} failed after {:?}: {e}", began.elapsed()));
        assert_eq!(answer.text(), path);
    }
    wait_until_idle(&system).await;

    let received = read_to_end(slow.pop().unwrap()).await;
    assert!(received.len() < LONG_ANSWER_BYTES);
}

/// Guards against a connection without a request that stays open, or whose late request runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_without_a_request_is_closed_after_the_header_timeout() {
    let (system, _, key, log) = system_with_plain_backend(SHORT_LIMITS, CloseBehaviour::Never).await;
    let addr = system.vm(0).caller;
    let mut stream = TcpStream::connect(addr).await.unwrap();

    // Returns when the VM closes the connection after the header timeout.
    let read = stream.read(&mut [0; 1]).await.unwrap_or(0);
    let sent = stream
        .write_all(request_head("GET", "/stock/late", &key, "").as_bytes())
        .await;
    let answer = read_to_end(stream).await;

    assert_eq!((read, answer.as_str()), (0, ""), "{sent:?}");
    assert!(log.lock().unwrap().is_empty());
}

/// Guards against a refusal or a second run because the server closed a kept-alive connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_after_the_server_closes_a_kept_alive_connection() {
    for close in [CloseBehaviour::AfterAnswer, CloseBehaviour::AtSecondRequest] {
        let (system, caller, _, log) = system_with_plain_backend("", close).await;
        let addr = system.vm(0).caller;

        // More than two in a row would exceed the retry budget.
        for n in 0..2 {
            let answer = caller.get(addr, &format!("/stock/{n}")).await.unwrap();
            assert_eq!(answer.text(), format!("/stock/{n}"));
        }
        let headers = [("idempotency-key", "a")];
        let order = caller.send(addr, "POST", "/order/1", &headers, "").await.unwrap();
        let repeat = caller.send(addr, "POST", "/order/1", &headers, "").await.unwrap();

        assert_eq!((order.status, order.text()), (repeat.status, "/order/1".to_owned()));
        assert_eq!(
            log.lock()
                .unwrap()
                .iter()
                .filter(|(_, target)| target == "/order/1")
                .count(),
            1
        );
    }
}

/// Guards against an undecodable row that removes the settings in force or stops the VM.
#[tokio::test(flavor = "multi_thread")]
async fn an_undecodable_row_leaves_the_old_revision_in_force() {
    let system = TestSystem::start(1).await;
    let open = json!({"service": "stock", "path": "/catalogue", "access": "open", "execution": "idempotent"});
    assert_eq!(system.set("/teams/shop/routes/catalogue", &open).await.status, 200);
    let key = system.grant_key("orchard", "till").await;
    let caller = Caller::new(Some(&key));
    let (addr, admin) = (system.vm(0).caller, system.vm(0).admin);
    let revision = caller.get(admin, "/v1/status").await.unwrap().json()["revision"]
        .as_u64()
        .unwrap();
    let table = system.platform().table();
    let old_head = table.read("/mangohook/head").unwrap().value;
    let log_row = format!("/mangohook/log/{:020}", revision + 1);
    let new_head = old_head.replace(&revision.to_string(), &(revision + 1).to_string());
    let bad = Commit::new()
        .with(Write::set("/mangohook/head", new_head, Expect::Any))
        .with(Write::set(&log_row, "{not a row", Expect::Any));

    table.commit(&bad);
    wait_until("the row is rejected", async || system.log(0).contains("E401")).await;
    let served = caller.get(addr, "/catalogue").await.unwrap();
    let status = caller.get(admin, "/v1/status").await.unwrap().json();
    let change = system.set("/teams/shop/routes/catalogue", &open).await;
    let repair = Commit::new()
        .with(Write::set("/mangohook/head", old_head, Expect::Any))
        .with(Write::remove(&log_row, Expect::Any));
    table.commit(&repair);

    assert!(system.log(0).contains("MH4004"), "{}", system.log(0));
    assert_eq!(served.status, 200);
    assert_eq!(status["revision"], revision);
    assert_eq!(change.code(), Some(4004), "{}", change.text());
}

/// Starts a backend server that reads each request, records its target, and closes the connection without an answer.
async fn silent_backend() -> (SocketAddr, RequestLog) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let seen = Arc::clone(&log);
    tokio::spawn(async move {
        for number in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = stream.read(&mut buf).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&buf[..n]);
            if let Some(target) = text.split(' ').nth(1) {
                seen.lock().unwrap().push((number, target.to_owned()));
            }
        }
    });
    (addr, log)
}

/// Guards against the "not run" of the last attempt replacing the "may have run" of an earlier attempt: one server
/// loses the answer, and the other is unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_reached_a_server_is_never_refused_as_not_run() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    let (lossy, log) = silent_backend().await;
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let server = |name, addr| json!({"name": name, "addr": addr, "domain": "a", "slots": 1000, "connections": 3000});
    let doc = json!({"servers": [server("s1", lossy), server("s2", dead)]});
    assert_eq!(system.set("/teams/shop/services/stock", &doc).await.status, 200);
    let caller = Caller::new(Some(&key));

    let mut reached = 0;
    for n in 0..30 {
        let path = format!("/stock/{n}");
        let answer = caller.get(system.vm(0).caller, &path).await.unwrap().json();
        if log.lock().unwrap().iter().any(|(_, target)| *target == path) {
            reached += 1;
            assert_eq!(answer["run"], "unknown", "{answer}");
        }
    }

    assert!(reached > 0);
}
