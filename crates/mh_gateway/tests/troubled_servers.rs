//! Answers of backend servers in trouble: without end, late, twice, of nobody.

mod fixtures;
mod site;

use std::time::Duration;

use site::{OK, Reply, Site};

/// Longest wait for something that must happen; bounds a hang, not speed.
const PATIENCE: Duration = Duration::from_mins(1);

/// An answer whose body tells the id that it was made for, with a short delay.
const SLOW_ECHO: Reply = Reply::Later(
    "",
    Duration::from_millis(80),
    "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 9\r\n\r\nID",
);

const ENDLESS_BODY: Reply = Reply::Endless(
    "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\n\r\n",
    "0123456789abcdef0123456789abcdef",
);

/// Heads that do not end: more lines, one long line, and interim answers.
const ENDLESS_HEADS: [Reply; 3] = [
    Reply::Endless("HTTP/1.1 200 OK\r\n", "x-more: y\r\n"),
    Reply::Endless("HTTP/1.1 200 OK\r\nx-long: ", "yyyyyyyyyyyyyyyy"),
    Reply::Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
];

/// Refusals as not run whose bodies do not end.
const ENDLESS_REFUSALS: [Reply; 2] = [
    Reply::Endless(
        "HTTP/1.1 421 Other\r\nmangohook-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\nx\r\n",
    ),
    Reply::Endless(
        "HTTP/1.1 503 Busy\r\nmangohook-request-id: ID\r\nmangohook-not-run: 1\r\n\r\n",
        "xxxxxxxx",
    ),
];

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, wait).await.is_ok(), "{what}");
}

/// Guards against passing on an answer without end for longer than the caller waits, and against one that looks whole.
#[tokio::test]
async fn an_answer_without_end_is_cut_at_the_routes_timeout() {
    for (method, path) in [("GET", "/safe/x"), ("POST", "/pay/x")] {
        for leaves in [false, true] {
            let site = Site::start(&[ENDLESS_BODY]).await;
            if leaves {
                site.gateway.leave();
            }

            let answer = site.send(method, path, "").await;
            eventually("the server's connection is closed", || site.endless().0 == 1).await;

            // Nothing of it had arrived, or it was cut; the last chunk says that an answer is whole.
            assert!(!answer.body.ends_with("0\r\n\r\n"), "{answer:?}");
            assert!(
                answer.status != 200 || answer.head.contains("transfer-encoding: chunked"),
                "{answer:?}"
            );
            assert_eq!(site.seen().len(), 1);
            assert_eq!(site.gateway.held_bytes(), 0);
        }
    }
}

/// Guards against an answer without end that outlasts its caller.
#[tokio::test]
async fn an_answer_without_end_ends_when_the_caller_leaves() {
    let site = Site::start(&[ENDLESS_BODY]).await;

    let sent = tokio::time::timeout(Duration::from_millis(100), site.get("/safe/x")).await;

    assert!(sent.is_err());
    eventually("the server's connection is closed", || site.endless().0 == 1).await;
}

/// Guards against work for a caller that has left.
#[tokio::test]
async fn a_request_whose_caller_leaves_is_taken_from_its_server() {
    let site = Site::start(&[Reply::Hang]).await;

    let sent = tokio::time::timeout(Duration::from_millis(100), site.get("/safe/x")).await;

    assert!(sent.is_err());
    eventually("the server's connection is closed", || site.left() == 1).await;
}

/// Guards against waiting for the body of a refusal, whose head says that the request has not run.
#[tokio::test]
async fn a_refusal_without_end_costs_nothing() {
    for reply in ENDLESS_REFUSALS {
        for (method, path) in [("GET", "/safe/x"), ("POST", "/pay/x")] {
            let site = Site::start(&[reply]).await;

            let answer = site.send(method, path, "").await;

            assert_eq!((answer.status, site.seen().len()), (200, 2), "{reply:?}");
            eventually("the server's connection is closed", || site.endless().0 == 1).await;
        }
    }
}

/// Guards against waiting for a head without end until no time is left for another server.
#[tokio::test]
async fn a_head_without_end_is_given_up_in_time() {
    for reply in ENDLESS_HEADS {
        let site = Site::start(&[reply]).await;
        let read = site.get("/safe/x").await;
        let read_seen = site.seen().len();
        let site = Site::start(&[reply]).await;
        let paid = site.send("POST", "/pay/x", "").await;

        assert_eq!((read.status, read_seen), (200, 2), "{reply:?} {read:?}");
        assert_eq!((paid.status, site.seen().len()), (502, 1), "{reply:?} {paid:?}");
        eventually("the server's connection is closed", || site.endless().0 == 1).await;
        assert!(site.endless().1 < 1024 * 1024);
    }
}

/// Guards against a success that no server gave for this request.
#[tokio::test]
async fn a_success_without_id_or_mark_is_not_passed_on() {
    let replies = [
        Reply::Keep("HTTP/1.1 200 OK\r\nstamp: s\r\ncontent-length: 6\r\n\r\nsecret"),
        Reply::Keep("HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\ncontent-length: 6\r\n\r\nsecret"),
    ];
    for reply in replies {
        let site = Site::start(&[reply]).await;
        let read = site.get("/safe/x").await;
        let site = Site::start(&[reply]).await;
        let paid = site.send("POST", "/pay/x", "").await;

        assert_eq!((read.status, read.body.as_str()), (200, "done"), "{reply:?}");
        assert_eq!((paid.status, site.seen().len()), (502, 1), "{reply:?}");
        assert!(!paid.body.contains("secret"), "{paid:?}");
    }
}

/// Guards against a late refusal of an earlier request that is taken for one of the next request, which would then be
/// told that it has not run.
#[tokio::test]
async fn a_refusal_without_id_is_not_believed_on_a_used_connection() {
    let nameless = Reply::Keep("HTTP/1.1 503 Busy\r\nmangohook-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    let site = Site::start_with_one_server(&[OK, nameless]).await;
    site.send("POST", "/pay/1", "").await;

    let answer = site.send("POST", "/pay/2", "").await;

    assert_eq!((answer.status, site.connections()), (502, 1));
}

/// Guards against reading on what follows a whole answer.
#[tokio::test]
async fn bytes_without_end_after_an_answer_close_the_connection() {
    let reply = Reply::Endless(
        "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone",
        "no answer ",
    );
    let site = Site::start_with_one_server(&[reply]).await;

    let first = site.send("POST", "/pay/1", "").await;
    eventually("the server's connection is closed", || site.endless().0 == 1).await;
    let second = site.send("POST", "/pay/2", "").await;

    for answer in [first, second] {
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    }
    assert_eq!(site.connections(), 2);
}

/// Guards against bytes that are no answer, in place of the next one.
#[tokio::test]
async fn bytes_in_place_of_an_answer_reach_nobody() {
    let reply = Reply::Later(
        "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone",
        Duration::from_millis(40),
        "no answer at all, and not the end of it",
    );
    let site = Site::start_with_one_server(&[reply, OK]).await;

    let first = site.send("POST", "/pay/1", "").await;
    let second = site.send("POST", "/pay/2", "").await;

    assert_eq!((first.status, first.body.as_str()), (200, "done"));
    assert!(second.status == 502 || second.body == "done", "{second:?}");
    assert!(!second.body.contains("no answer"), "{second:?}");
}

/// Guards against using other kept connections of a server that has just sent an answer to nobody: such answers come in
/// runs.
#[tokio::test]
async fn a_server_that_sent_a_stray_answer_gets_new_connections() {
    let twice = Reply::Later(
        "",
        Duration::from_millis(80),
        "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone\
         HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone",
    );
    let site = Site::start_with_one_server(&[SLOW_ECHO, twice]).await;
    tokio::join!(site.get("/safe/01"), site.get("/safe/02"));
    assert_eq!(site.connections(), 2);
    tokio::time::sleep(Duration::from_millis(50)).await;

    let answer = site.get("/safe/03").await;

    assert_eq!((answer.status, site.connections()), (200, 3));
}

/// Guards against a second copy of an answer that arrives when its connection is in use again.
#[tokio::test]
async fn a_late_second_answer_reaches_no_other_caller() {
    let late = [
        "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 9\r\n\r\nID",
        "HTTP/1.1 200 OK\r\nmangohook-request-id: other\r\nstamp: s\r\ncontent-length: 9\r\n\r\nIDIDIDIDI",
        "HTTP/1.1 200 OK\r\nstamp: s\r\ncontent-length: 9\r\n\r\nID",
        "HTTP/1.1 503 Busy\r\nmangohook-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for late in late {
        for delay_ms in [0, 5, 20, 60] {
            let first = "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 9\r\n\r\nID";
            let reply = Reply::Later(first, Duration::from_millis(delay_ms), late);
            let site = Site::start_with_one_server(&[reply, SLOW_ECHO, SLOW_ECHO]).await;

            for path in ["/pay/000", "/pay/001", "/pay/002"] {
                let answer = site.send("POST", path, "").await;
                let is_sent = site
                    .seen()
                    .iter()
                    .any(|head| head.starts_with(&format!("POST {path} ")));
                match answer.status {
                    200 => assert_eq!(answer.body, format!("q{path}"), "{late:?}"),
                    502 => assert!(is_sent, "{path} {late:?} {answer:?}"),
                    // The failed server is left alone for a while.
                    503 => assert!(!is_sent, "{path} {late:?} {answer:?}"),
                    _ => panic!("{path} {late:?} {answer:?}"),
                }
            }
        }
    }
}

/// Guards against taking a reset for the clean end of an answer without a length.
#[tokio::test]
async fn an_answer_without_a_length_that_is_reset_is_not_whole() {
    let reply = Reply::Reset("HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\n\r\npart of it");
    let read = Site::start(&[reply]).await.get("/safe/x").await;
    let paid = Site::start(&[reply]).await.send("POST", "/pay/x", "").await;

    assert_eq!((read.status, read.body.as_str()), (200, "done"));
    assert_eq!(paid.status, 502);
}
