//! End-to-end requests over real sockets between separate processes.

mod support;

use std::time::Duration;

use support::{ORDER_PATH, STOCK_PATH, TestSystem, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against a failure in any step from look-up to answer, and against passing the key to the server.
#[tokio::test(flavor = "multi_thread")]
async fn look_up_then_request_reaches_a_server_without_the_key() {
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));

    let lookup = caller
        .get(system.vm(0).caller, "/.well-known/mangohook/lookup")
        .await
        .unwrap()
        .json();
    let addr = lookup["vms"][0]["addr"].as_str().unwrap().parse().unwrap();
    let answer = caller.get(addr, &format!("{STOCK_PATH}/nets?size=4")).await.unwrap();

    assert_eq!(answer.status, 200);
    assert!(answer.text().contains("GET /stock/nets?size=4"));
    let seen = system.received_requests();
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0]
            .headers
            .iter()
            .all(|(_, value)| !value.to_str().unwrap_or("").contains(&key))
    );
    assert!(seen[0].headers.contains_key("mangohook-deadline-ms"));
}

/// Guards against a withdrawn key that still works on some VM or on an open connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_rejected_by_every_vm() {
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    for vm in [0, 1] {
        assert_eq!(caller.get(system.vm(vm).caller, STOCK_PATH).await.unwrap().status, 200);
    }

    let reply = system.withdraw_key("till").await;

    assert!(reply["accepted"].as_bool().unwrap());
    assert_eq!(reply["missing"].as_array().unwrap().len(), 0);
    for vm in [0, 1] {
        let refused = caller.get(system.vm(vm).caller, STOCK_PATH).await.unwrap();
        assert_eq!(refused.code(), Some(1003));
        assert_eq!(refused.json()["run"], "not-run");
    }
}

/// Guards against a settings change that takes effect on one VM only.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_change_takes_effect_on_every_vm() {
    let system = TestSystem::start(2).await;
    let caller = mh_standin::Caller::new(None);
    assert_eq!(
        caller.get(system.vm(1).caller, "/catalogue").await.unwrap().code(),
        Some(1001)
    );

    let route = serde_json::json!({
        "service": "stock", "path": "/catalogue", "access": "open", "execution": "idempotent"
    });
    let reply = system.set("/teams/shop/routes/catalogue", &route).await;

    assert_eq!(reply.status, 200, "{}", reply.text());
    for vm in [0, 1] {
        assert_eq!(
            caller.get(system.vm(vm).caller, "/catalogue").await.unwrap().status,
            200
        );
    }
}

/// Guards against a shutdown that aborts a running request or leaves callers without a VM.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_aborts_no_running_request() {
    let mut system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    system.backend().faults().set_delay(Duration::from_millis(1500));
    let addr = system.vm(0).caller;
    let slow = tokio::spawn({
        let caller = caller.clone();
        async move { caller.get(addr, STOCK_PATH).await }
    });
    wait_until("the request runs", async || !system.received_requests().is_empty()).await;

    system.process(0).process().terminate().unwrap();
    let leaving = system.vm(0).name.clone();
    let other = system.vm(1).caller;
    wait_until("the look-up at the other VM omits the stopping VM", async || {
        let lookup = caller.get(other, "/.well-known/mangohook/lookup").await.unwrap().json();
        lookup["vms"]
            .as_array()
            .unwrap()
            .iter()
            .all(|vm| vm["vm"] != leaving.as_str())
    })
    .await;
    let answer = slow.await.unwrap().unwrap();
    let status = system.process(0).process_mut().wait().await.unwrap();

    assert_eq!(answer.status, 200);
    assert_eq!(status.code(), Some(0));
}

/// Guards against an invalid request that runs or is refused with the wrong code.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_have_a_code_and_state_not_run() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    let addr = system.vm(0).caller;
    let keyed = mh_standin::Caller::new(Some(&key));
    let keyless = mh_standin::Caller::new(None);
    let unknown_key = mh_standin::Caller::new(Some("mhk.shop.none.00"));

    let refusals = [
        keyed.get(addr, "/nowhere").await.unwrap(),
        keyless.get(addr, STOCK_PATH).await.unwrap(),
        unknown_key.get(addr, STOCK_PATH).await.unwrap(),
        keyed.send(addr, "POST", ORDER_PATH, &[], "{}").await.unwrap(),
        keyed
            .send(addr, "POST", STOCK_PATH, &[], &"x".repeat(3000))
            .await
            .unwrap(),
        keyed
            .send(addr, "GET", STOCK_PATH, &[("mangohook-deadline-ms", "soon")], "")
            .await
            .unwrap(),
        keyed
            .send(addr, "GET", STOCK_PATH, &[("x-flood", &"x".repeat(20_000))], "")
            .await
            .unwrap(),
        keyed.get(addr, "/stock/../order").await.unwrap(),
        keyed.get(addr, &format!("/stock?key={key}")).await.unwrap(),
    ];

    let codes: Vec<_> = refusals.iter().map(|refusal| refusal.code().unwrap()).collect();
    assert_eq!(codes, [1001, 1002, 1003, 1010, 1006, 1020, 1007, 1021, 1021]);
    assert!(refusals.iter().all(|refusal| refusal.json()["run"] == "not-run"));
    assert!(system.received_requests().is_empty());
}

/// Guards against passing on a truncated answer, or the answer to another request, as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_mismatched_answers_are_never_passed_on_as_complete() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let addr = system.vm(0).caller;
    let order = |id: &'static str| {
        let caller = caller.clone();
        async move {
            caller
                .send(addr, "POST", ORDER_PATH, &[("idempotency-key", id)], "{}")
                .await
        }
    };

    system.backend().faults().set_wrong_request_id(true);
    let mismatched = order("a").await.unwrap();
    system.backend().faults().set_wrong_request_id(false);
    system.backend().faults().set_close_before_answer(true);
    let lost = order("b").await.unwrap();
    system.backend().faults().set_close_before_answer(false);
    system.backend().faults().set_truncate(true);
    let truncated = caller.get(addr, STOCK_PATH).await;

    assert_eq!(
        (mismatched.code(), mismatched.json()["run"].as_str()),
        (Some(2006), Some("unknown"))
    );
    assert_eq!(
        (lost.code(), lost.json()["run"].as_str()),
        (Some(2004), Some("unknown"))
    );
    assert!(truncated.is_err());
    assert_eq!(
        system
            .received_requests()
            .iter()
            .filter(|seen| seen.target.starts_with("POST"))
            .count(),
        2
    );
}

/// Guards against running an operation again when it is repeated at the same VM or another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_operation_runs_once() {
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let lookup = caller
        .get(system.vm(0).caller, "/.well-known/mangohook/lookup?operations=1")
        .await
        .unwrap()
        .json();
    let issued = lookup["operation_ids"][0].as_str().unwrap();

    for id in [issued, "order-17"] {
        let order = async |vm: usize, body: &'static str| {
            let headers = [("idempotency-key", id)];
            caller
                .send(system.vm(vm).caller, "POST", ORDER_PATH, &headers, body)
                .await
                .unwrap()
        };
        let before = system.received_requests().len();

        let first = order(0, "4 nets").await;
        let same_vm = order(0, "4 nets").await;
        let other_vm = order(1, "4 nets").await;
        let changed = order(1, "5 nets").await;

        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!((same_vm.status, &same_vm.body), (first.status, &first.body));
        assert_eq!((other_vm.status, &other_vm.body), (first.status, &first.body));
        assert_eq!(
            (changed.code(), changed.json()["run"].as_str()),
            (Some(1018), Some("not-run"))
        );
        assert_eq!(system.received_requests().len(), before + 1);
    }
}

/// Guards against running an operation with a caller-chosen id while no VM can check whether it is claimed.
#[tokio::test(flavor = "multi_thread")]
async fn caller_chosen_ids_are_refused_while_the_table_is_down() {
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let lookup = caller
        .get(system.vm(1).caller, "/.well-known/mangohook/lookup?operations=1")
        .await
        .unwrap()
        .json();
    let issued = lookup["operation_ids"][0].as_str().unwrap();
    let order = async |id: &str| {
        caller
            .send(
                system.vm(0).caller,
                "POST",
                ORDER_PATH,
                &[("idempotency-key", id)],
                "{}",
            )
            .await
            .unwrap()
    };

    system.platform().faults().set_down(true);
    let claimed = order("order-18").await;
    let issued = order(issued).await;

    assert_eq!(claimed.json()["run"], "not-run", "{}", claimed.text());
    assert_eq!(issued.status, 200, "{}", issued.text());
    assert_eq!(system.received_requests().len(), 1);
}

/// Guards against an operation that runs twice or never because the reply to its claim was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_with_a_lost_reply_still_runs_at_most_once() {
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let order = async |vm: usize| {
        let headers = [("idempotency-key", "order-19")];
        caller
            .send(system.vm(vm).caller, "POST", ORDER_PATH, &headers, "{}")
            .await
            .unwrap()
    };

    system.platform().faults().set_lose_replies(true);
    let lost = order(0).await;
    system.platform().faults().set_lose_replies(false);
    wait_until("the operation has an answer", async || order(1).await.status == 200).await;

    assert_eq!(lost.json()["run"], "not-run", "{}", lost.text());
    assert_eq!(system.received_requests().len(), 1);
}

/// Sends a request with a body in chunks to the route of [`STOCK_PATH`], and reads the answer until the connection ends.
async fn send_chunked(system: &TestSystem, key: &str, method: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(system.vm(0).caller).await.expect("the VM listens");
    let head = format!(
        "{method} {STOCK_PATH} HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the VM reads");
    // Each chunk is sent by itself, so that the server receives the first one before the last one.
    for chunk in body.split_inclusive("\r\n") {
        stream.write_all(chunk.as_bytes()).await.expect("the VM reads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut answer = Vec::new();
    // A connection that breaks yields a short answer.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against 408, which promises that the request has not run, for a streamed body that its caller breaks off after a
/// server has received the first part of it.
#[tokio::test(flavor = "multi_thread")]
async fn broken_body_promises_nothing_once_a_server_may_have_begun() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;

    let answer = send_chunked(&system, &key, "POST", "5\r\n01234\r\nno length of a chunk\r\n").await;

    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(
        answer.contains("\"code\":1026") && answer.contains("\"run\":\"unknown\""),
        "{answer}"
    );
}

/// Guards against dropping the body of a GET request in chunks: the server would run another request than the caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn body_in_chunks_arrives_with_every_method() {
    let system = TestSystem::start(1).await;
    let key = system.grant_key("orchard", "till").await;
    for method in ["GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT"] {
        let body = "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";

        let answer = send_chunked(&system, &key, method, body).await;

        let received = system.received_requests().pop().unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{method}: {answer}");
        assert_eq!(received.target, format!("{method} {STOCK_PATH}"));
        assert_eq!(received.body, "0123456789", "{method}");
        assert_eq!(received.headers["transfer-encoding"], "chunked", "{method}");
    }
}

/// Guards against passing on an invalid status of a faulty server, for requests and for operations.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_status_is_not_passed_on() {
    for status in [101, 600, 999] {
        // The only server gets no more requests for a while after it has failed a few.
        let system = TestSystem::start(1).await;
        let key = system.grant_key("orchard", "till").await;
        let caller = mh_standin::Caller::new(Some(&key));
        let addr = system.vm(0).caller;
        system.backend().faults().set_status(status);

        let read = caller.get(addr, STOCK_PATH).await.unwrap();
        let id = format!("order-{status}");
        let headers = [("idempotency-key", id.as_str())];
        let order = caller.send(addr, "POST", ORDER_PATH, &headers, "{}").await.unwrap();

        for reply in [read, order] {
            assert_eq!((reply.status.as_u16(), reply.code()), (502, Some(2007)), "{status}");
            assert_eq!(reply.json()["run"].as_str(), Some("unknown"));
        }
    }
}
