//! HTTP clients against platform services that fail, are slow, lose replies or return invalid responses.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use std::net::SocketAddr;
use std::time::Duration;

use mh_platform::{
    Commit, CommitOutcome, Expect, HttpPlatform, ObjectStore, RateLimiter, Result, Row, Table, VmList, Write,
    commit_with_retries,
};
use mh_standin::Platform;
use mh_types::Code;

/// Timeout of a request. The slow service takes 20 times as long.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Rate limit that no test reaches.
const UNTHROTTLED_REQUESTS_PER_S: u32 = 1000;

fn http_platform(addr: SocketAddr, per_second: u32) -> HttpPlatform {
    HttpPlatform::new(addr, addr, addr, REQUEST_TIMEOUT, per_second)
}

fn insert_commit(path: &str, value: &str) -> Commit {
    Commit::new().with(Write::set(path, value, Expect::Absent))
}

fn error_code<T>(result: Result<T>) -> Option<Code> {
    result.err().map(|e| e.current_context().0)
}

/// Returns the error codes of a commit, a row read, a row list, an object read and a VM list read.
async fn error_codes(clients: &HttpPlatform, path: &str) -> [Option<Code>; 5] {
    [
        error_code(clients.table.commit(&insert_commit(path, "1")).await),
        error_code(clients.table.read(path).await),
        error_code(clients.table.list("/", "", 10).await),
        error_code(clients.objects.get("a").await),
        error_code(clients.vms.read().await),
    ]
}

/// Guards against an outage that is treated as a valid response, and against clients that keep failing after it ends.
#[tokio::test]
async fn outage_is_reported_and_recovers() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), UNTHROTTLED_REQUESTS_PER_S);

    platform.faults().set_down(true);
    let down = error_codes(&clients, "/a").await;
    platform.faults().set_down(false);
    let up = error_codes(&clients, "/b").await;

    let expected = [
        Code::OutcomeUnknown,
        Code::TableUnreachable,
        Code::TableUnreachable,
        Code::ObjectsUnreachable,
        Code::VmListUnreachable,
    ];
    assert_eq!(down, expected.map(Some));
    assert_eq!(up, [None; 5]);
    assert_eq!(platform.table().read("/a"), None);
}

/// Guards against an unknown outcome for a write that was never sent because the connection was refused.
#[tokio::test]
async fn refused_connection_has_a_known_outcome() {
    let unused_addr = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();

    let result = http_platform(unused_addr, UNTHROTTLED_REQUESTS_PER_S)
        .table
        .commit(&insert_commit("/a", "1"))
        .await;

    assert_eq!(error_code(result), Some(Code::TableUnreachable));
}

/// Guards against requests that wait longer than their timeout, and against a timed-out write that is reported as not
/// applied although it took effect.
#[tokio::test]
async fn slow_service_causes_timeout_errors() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), UNTHROTTLED_REQUESTS_PER_S);

    platform.faults().set_delay(REQUEST_TIMEOUT * 20);
    let slow = error_codes(&clients, "/a").await;

    let expected = [
        Code::OutcomeUnknown,
        Code::TableTimeout,
        Code::TableTimeout,
        Code::ObjectsUnreachable,
        Code::VmListUnreachable,
    ];
    assert_eq!(slow, expected.map(Some));
    assert_eq!(platform.table().read("/a").unwrap().value, "1");
}

/// Guards against a write whose reply was lost being reported as not applied, or being applied twice by a retry.
#[tokio::test]
async fn lost_reply_is_unknown_until_retried() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), UNTHROTTLED_REQUESTS_PER_S);
    let commit = insert_commit("/a", "write-17");

    platform.faults().set_lose_replies(true);
    let first_attempt = clients.table.commit(&commit).await;
    let unresolved = commit_with_retries(&*clients.table, &commit, 2).await;
    platform.faults().set_lose_replies(false);
    let resolved = commit_with_retries(&*clients.table, &commit, 2).await;

    assert_eq!(error_code(first_attempt), Some(Code::OutcomeUnknown));
    assert_eq!(error_code(unresolved), Some(Code::OutcomeUnknown));
    assert_eq!(resolved.unwrap(), CommitOutcome::Conflict { path: "/a".to_owned() });
    assert_eq!(clients.table.read("/a").await.unwrap().unwrap().value, "write-17");
    assert_eq!(platform.table().read("/a").unwrap().version, 1);
}

/// Guards against a later failure that hides that an earlier attempt may have taken effect.
#[tokio::test]
async fn unknown_outcome_survives_later_failures() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), 1);
    platform.faults().set_lose_replies(true);

    // The limit of one request per second is reached during the attempts.
    let result = commit_with_retries(&*clients.table, &insert_commit("/a", "1"), 5).await;

    assert_eq!(error_code(result), Some(Code::OutcomeUnknown));
}

/// Guards against an undecodable response that is treated as empty, or as a write that did not happen.
#[tokio::test]
async fn undecodable_responses_are_errors() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), UNTHROTTLED_REQUESTS_PER_S);

    platform.faults().set_corrupt_responses(true);
    let corrupted = error_codes(&clients, "/a").await;

    let invalid = Some(Code::PlatformAnswerInvalid);
    assert_eq!(corrupted, [Some(Code::OutcomeUnknown), invalid, invalid, None, invalid]);
}

/// Guards against exceeding the request rate that the platform allows, and against sending a write that was rejected.
#[tokio::test]
async fn requests_over_the_rate_limit_are_not_sent() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), 1);
    for path in ["/a", "/b", "/c"] {
        let _ = clients.table.commit(&insert_commit(path, "1")).await;
    }

    let rejected = clients.table.commit(&insert_commit("/d", "1")).await;

    assert_eq!(error_code(rejected), Some(Code::BudgetUsedUp));
    assert_eq!(platform.table().read("/d"), None);
}

/// Guards against a limiter that allows more than its rate and its burst of two seconds.
#[tokio::test(start_paused = true)]
async fn rate_limiter_enforces_rate_and_burst() {
    let limiter = RateLimiter::new(10);
    let mut burst = 0;
    while limiter.acquire(Duration::ZERO).await {
        burst += 1;
    }
    assert_eq!(burst, 21);

    tokio::time::advance(Duration::from_millis(500)).await;
    let mut refilled = 0;
    while limiter.acquire(Duration::ZERO).await {
        refilled += 1;
    }
    assert_eq!(refilled, 5);
    assert!(limiter.acquire(Duration::from_millis(100)).await);
}

/// Guards against rows that are skipped or returned twice at a page boundary.
#[tokio::test]
async fn pages_return_every_row_once() {
    let platform = Platform::start().await.unwrap();
    let clients = http_platform(platform.addr(), UNTHROTTLED_REQUESTS_PER_S);
    let names = (0..25).map(|i| format!("/docs/{i:02} é&a=b"));
    let mut commit = insert_commit("/docs", "before").with(Write::set("/docz", "after", Expect::Absent));
    for name in names.clone() {
        commit = commit.with(Write::set(name, "1", Expect::Absent));
    }
    assert!(matches!(
        clients.table.commit(&commit).await.unwrap(),
        CommitOutcome::Done { .. }
    ));

    let mut found: Vec<Row> = Vec::new();
    loop {
        let after = found.last().map(|row| row.path.clone()).unwrap_or_default();
        let page = clients.table.list("/docs/", &after, 10).await.unwrap();
        if page.is_empty() {
            break;
        }
        assert!(page.len() <= 10);
        found.extend(page);
    }

    assert!(found.iter().map(|row| row.path.clone()).eq(names));
}
