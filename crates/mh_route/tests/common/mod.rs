//! Fixtures shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::time::Duration;

use mh_route::prelude::*;
use mh_route::{PoolView, ServerView};
use tokio::time::Instant;

pub fn vm_location() -> VmLocation {
    VmLocation {
        domain: "a1".into(),
        region: "a".into(),
    }
}

/// A server in `domain`, whose first letter is the region.
pub fn spec(name: &str, domain: &str) -> ServerSpec {
    ServerSpec {
        name: name.into(),
        addr: ([127, 0, 0, 1], 8000).into(),
        domain: domain.into(),
        region: domain[..1].into(),
        version: "v1".into(),
        slots: 4,
        connections: 340,
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn answered(latency_ms: u64) -> Outcome {
    Outcome::Answered {
        status: 200,
        latency: ms(latency_ms),
    }
}

pub fn idempotent() -> PickRequest<'static> {
    PickRequest {
        idempotent: true,
        ..PickRequest::default()
    }
}

pub fn server(view: &PoolView, name: &str) -> ServerView {
    view.servers
        .iter()
        .find(|s| s.name.as_str() == name)
        .expect("the server is in the view")
        .clone()
}

/// Sends `count` requests, one every 5 ms. `outcome` returns the outcome of a request by server name, which is recorded
/// 10 ms later; requests with `None` are moved to `unanswered`. Returns the picked servers with their times, and the
/// end.
pub fn drive(
    pool: &Pool,
    start: Instant,
    count: u64,
    outcome: impl Fn(&str) -> Option<Outcome>,
    unanswered: &mut Vec<Pick>,
) -> (Vec<(Instant, String)>, Instant) {
    let mut picked = Vec::new();
    let mut open: Vec<(Instant, Pick)> = Vec::new();
    let mut now = start;
    for i in 0..count {
        now = start + ms(5 * i);
        while open.first().is_some_and(|(at, _)| *at <= now) {
            let (at, pick) = open.remove(0);
            match outcome(pick.spec().name.as_str()) {
                Some(outcome) => pick.done(at, outcome),
                None => unanswered.push(pick),
            }
        }
        let rnd = i.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        if let Ok(pick) = pool.pick(now, &idempotent(), rnd) {
            picked.push((now, pick.spec().name.as_str().to_owned()));
            open.push((now + ms(10), pick));
        }
    }
    for (at, pick) in open {
        match outcome(pick.spec().name.as_str()) {
            Some(outcome) => pick.done(at, outcome),
            None => unanswered.push(pick),
        }
    }
    (picked, now + ms(10))
}

/// Number of requests in `picked` from `from` on that went to `name`.
pub fn count(picked: &[(Instant, String)], name: &str, from: Instant) -> usize {
    picked.iter().filter(|(at, n)| *at >= from && n == name).count()
}
