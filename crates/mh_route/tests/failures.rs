//! Servers that fail, stay silent, report false load or shut down.

mod common;

use common::{answered, count, drive, idempotent, ms, server, spec, vm_location};
use mh_route::ServerState;
use mh_route::prelude::*;
use tokio::time::Instant;

fn pair(start: Instant) -> Pool {
    Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "a1")], start)
}

/// Guards against traffic to a server that accepts requests and never answers: after one second it must get only
/// trials, even though callers cancel their requests and so release its slots.
#[test]
fn silent_server_gets_only_trials_after_a_second() {
    let start = Instant::now();
    let pool = pair(start);
    let mut waiting: Vec<(Instant, Pick)> = Vec::new();
    let (mut early, mut late) = (0, 0);

    for i in 0..800_u64 {
        let now = start + ms(5 * i);
        while waiting.first().is_some_and(|(sent, _)| now >= *sent + ms(200)) {
            waiting.remove(0).1.done(now, Outcome::Cancelled);
        }
        let pick = pool
            .pick(now, &idempotent(), i.wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .unwrap();
        if pick.spec().name.as_str() == "s2" {
            pick.done(now + ms(4), answered(4));
        } else if now < start + ms(1000) {
            early += 1;
            waiting.push((now, pick));
        } else {
            late += 1;
            waiting.push((now, pick));
        }
    }

    assert!(early > 0, "the server was used at first");
    assert!(late <= 4, "{late} requests went to a silent server after a second");
}

/// Guards against traffic to an unreachable failure domain: one trial at a time for the whole domain, not per server.
#[test]
fn unreachable_domain_gets_only_trials_after_a_second() {
    let start = Instant::now();
    let mut servers = vec![spec("far", "b1")];
    servers.extend((0..6).map(|i| spec(&format!("s{i}"), "a1")));
    let pool = Pool::new(&vm_location(), &servers, start);

    let (picked, end) = drive(
        &pool,
        start,
        800,
        |n| Some(if n == "far" { answered(30) } else { Outcome::Failed }),
        &mut Vec::new(),
    );

    let late = picked
        .iter()
        .filter(|(at, n)| *at >= start + ms(1000) && n != "far")
        .count();
    assert!(
        late <= 4,
        "{late} requests went to the unreachable domain after a second"
    );
    assert!(count(&picked, "far", start) > 700);
    assert!(end > start + ms(3900));
}

/// Guards against a wrong health report: a report that a failed server is healthy and idle must not return it to use.
#[test]
fn healthy_report_does_not_override_measured_failures() {
    let start = Instant::now();
    let pool = pair(start);
    let report = LoadReport {
        healthy: true,
        in_flight: 0,
    };
    let mut sent = 0;

    for i in 0..400_u64 {
        let now = start + ms(5 * i);
        pool.on_report(&"s1".into(), &report, ms(0), now);
        let pick = pool
            .pick(now, &idempotent(), i.wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .unwrap();
        let failed = pick.spec().name.as_str() == "s1";
        sent += usize::from(failed);
        pick.done(now + ms(4), if failed { Outcome::Failed } else { answered(4) });
    }

    assert!(sent <= 5, "{sent} requests went to the server with the wrong report");
}

/// Guards against a slow server attracting traffic by reporting that it is idle.
#[test]
fn idle_report_does_not_override_measured_latency() {
    let start = Instant::now();
    let pool = pair(start);
    let outcome = |n: &str| Some(answered(if n == "s1" { 200 } else { 10 }));

    let (picked, _) = drive(&pool, start, 400, outcome, &mut Vec::new());

    assert!(count(&picked, "s1", start + ms(500)) < 30);
}

/// Guards against a server attracting traffic by answering errors faster than others answer successfully.
#[test]
fn errors_raise_the_predicted_wait() {
    let start = Instant::now();
    let pool = pair(start);
    let outcome = |n: &str| {
        Some(if n == "s1" {
            Outcome::Answered {
                status: 500,
                latency: ms(4),
            }
        } else {
            answered(10)
        })
    };

    let (picked, _) = drive(&pool, start, 400, outcome, &mut Vec::new());

    assert!(count(&picked, "s1", start + ms(500)) < 60);
}

/// Guards against a recovered server getting its full load at once, and against one that is never used again.
#[test]
fn recovered_server_is_ramped_up() {
    let start = Instant::now();
    let pool = pair(start);
    let fail = |n: &str| Some(if n == "s1" { Outcome::Failed } else { answered(10) });
    let (_, broken) = drive(&pool, start, 40, fail, &mut Vec::new());
    assert_eq!(server(&pool.view(), "s1").state, ServerState::Failed);

    let (picked, _) = drive(&pool, broken, 3000, |_| Some(answered(10)), &mut Vec::new());

    let back = picked.iter().find(|(_, n)| n == "s1").unwrap().0;
    assert!(back < broken + ms(1000), "a trial comes within a second");
    let first = picked
        .iter()
        .filter(|(at, n)| *at < back + ms(1000) && n == "s1")
        .count();
    let last = count(&picked, "s1", back + ms(8000)) as f64;
    let all = picked.iter().filter(|(at, _)| *at >= back + ms(8000)).count() as f64;
    assert!(first < 70, "{first} of 200 requests in the first second");
    assert!((0.4..0.6).contains(&(last / all)), "it has its full share again");
}

/// Guards against a new server, whose caches are cold, getting its full share at once.
#[test]
fn new_server_starts_with_a_ramp() {
    let start = Instant::now();
    let old = Pool::new(&vm_location(), &[spec("s1", "a1")], start);
    let pool = old.with_servers(&[spec("s1", "a1"), spec("s2", "a1")], start);

    let (picked, _) = drive(&pool, start, 3000, |_| Some(answered(10)), &mut Vec::new());

    assert!(count(&picked, "s2", start) - count(&picked, "s2", start + ms(1000)) < 60);
    let late = count(&picked, "s2", start + ms(12_000));
    assert!((200..400).contains(&late), "{late} of 600 requests after the ramp");
}

/// Guards against new requests to a server that is shutting down, whichever way this is announced, while its earlier
/// requests still finish.
#[test]
fn leaving_server_gets_no_new_requests() {
    let start = Instant::now();
    for announcement in ["closing", "leaving", "gone"] {
        let pool = pair(start);
        let mut old = Vec::new();
        while old.iter().filter(|p: &&Pick| p.spec().name.as_str() == "s1").count() < 2 {
            old.push(pool.pick(start, &idempotent(), old.len() as u64).unwrap());
        }
        match announcement {
            "closing" => {
                let at = old.iter().position(|p| p.spec().name.as_str() == "s1").unwrap();
                old.remove(at).done(start, Outcome::Closing);
            }
            "leaving" => pool.set_announced_state(&"s1".into(), AnnouncedState::Leaving, start),
            _ => pool.set_announced_state(&"s1".into(), AnnouncedState::Gone, start),
        }
        pool.set_announced_state(&"s2".into(), AnnouncedState::Serving, start);
        for pick in old {
            pick.done(start, answered(10));
        }

        let (picked, _) = drive(&pool, start + ms(1), 1000, |_| Some(answered(10)), &mut Vec::new());

        assert_eq!(count(&picked, "s1", start), 0, "{announcement}");
        assert_eq!(server(&pool.view(), "s1").in_flight, 0);
    }
}

/// Guards against an outdated server list overriding the server's own notice that it is shutting down, and against such
/// a server never being used again.
#[test]
fn closing_server_returns_only_after_a_trial() {
    let start = Instant::now();
    let pool = pair(start);
    let only_s1 = PickRequest {
        exclude: &["s2".into()],
        ..idempotent()
    };
    pool.pick(start, &only_s1, 3).unwrap().done(start, Outcome::Closing);
    pool.set_announced_state(&"s1".into(), AnnouncedState::Serving, start);

    let (picked, _) = drive(&pool, start + ms(1), 2400, |_| Some(answered(10)), &mut Vec::new());

    let first = picked.iter().find(|(_, n)| n == "s1").unwrap().0;
    assert!(first >= start + ms(8000));
}

/// Guards against sending a request that must not run twice to a failed server, after which it is unknown whether it
/// has run; it must be refused instead.
#[test]
fn non_idempotent_requests_are_not_sent_to_failed_servers() {
    let start = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1")], start);
    for _ in 0..2 {
        pool.pick(start, &PickRequest::default(), 0)
            .unwrap()
            .done(start, Outcome::Failed);
    }

    let refused = pool.pick(start + ms(100), &PickRequest::default(), 0);
    let tried = pool.pick(start + ms(100), &idempotent(), 0);

    assert_eq!(refused.unwrap_err(), PickError::Unavailable);
    assert_eq!(tried.unwrap().spec().name.as_str(), "s1");
}

/// Guards against all traffic moving at once to another domain with cold caches when the nearest domain is only slow.
#[test]
fn traffic_moves_gradually_between_domains() {
    let start = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "b1")], start);
    let (_, settled) = drive(&pool, start, 400, |_| Some(answered(10)), &mut Vec::new());

    let slow = |n: &str| Some(answered(if n == "s1" { 400 } else { 10 }));
    let (picked, _) = drive(&pool, settled, 400, slow, &mut Vec::new());

    let in_window =
        |from: u64, to: u64| count(&picked, "s2", settled + ms(from)) - count(&picked, "s2", settled + ms(to));
    assert!(in_window(0, 500) < 30, "{} of 100 moved at once", in_window(0, 500));
    assert!(in_window(1500, 2000) > in_window(0, 500), "the move goes on");
}

/// Guards against losing measurements when the server list changes, and against keeping them for another server at the
/// same name.
#[test]
fn measurements_survive_a_change_of_the_server_list() {
    let start = Instant::now();
    let pool = pair(start);
    let mut other = spec("s2", "a1");
    other.addr = "127.0.0.2:8000".parse().unwrap();
    let (_, now) = drive(&pool, start, 100, |_| Some(answered(10)), &mut Vec::new());
    let held = pool.pick(now, &idempotent(), 0).unwrap();

    let changed = pool.with_servers(&[spec("s1", "a1"), other], now);

    let view = changed.view();
    assert_eq!(server(&view, "s1").answered, server(&pool.view(), "s1").answered);
    assert_eq!(server(&view, "s2").answered, 0);
    drop(held);
    assert_eq!(server(&changed.view(), "s1").in_flight, 0);
}

/// Guards against treating a server as silent, and refusing further requests, because callers do not read its
/// responses.
#[test]
fn unread_responses_do_not_make_a_server_silent() {
    let start = Instant::now();
    let pool = Pool::new(
        &vm_location(),
        &[ServerSpec {
            slots: 1000,
            ..spec("s1", "a1")
        }],
        start,
    );
    for n in 0..20 {
        let now = start + ms(n);
        pool.pick(now, &idempotent(), n).unwrap().done(now + ms(1), answered(1));
    }
    let mut unread = Vec::new();
    for n in 0..12 {
        let mut pick = pool.pick(start + ms(30), &idempotent(), n).unwrap();
        pick.exempt_from_silence(start + ms(31));
        unread.push(pick);
    }

    let later = pool.pick(start + ms(5_000), &idempotent(), 7);

    assert!(later.is_ok(), "{later:?}");
}
