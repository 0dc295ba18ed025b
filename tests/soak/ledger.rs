//! Record of what callers sent and servers ran.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Window in which the requests of an organisation are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Fraction by which the requests in a window may exceed the quota.
const QUOTA_EXCESS: f64 = 0.1;
/// Number of requests in a window that may exceed the quota in addition.
const QUOTA_SLACK_REQUESTS: f64 = 20.0;

/// Time after the third crash by a deadly request from which on it may hardly reach servers.
const DEADLY_SETTLE: Duration = Duration::from_secs(3);
/// Number of times that it may still reach one from VMs in touch.
const MAX_LATE_DEADLY_REQUESTS: usize = 3;

/// Window in which the requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after which a stated limit binds.
const LIMIT_STABLE: Duration = Duration::from_secs(3);
/// Factor by which the requests in a window may exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Number of requests in a window that may exceed the limit in addition.
const LIMIT_SLACK_REQUESTS: f64 = 5.0;

/// Ledger of the requests that callers sent and servers ran, and of the violations found.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    sent: HashMap<String, SentRequest>,
    /// Times at which servers started to run each request.
    runs: HashMap<String, Vec<Instant>>,
    /// Requests whose callers were told that they have not run and will not run.
    refused: HashSet<String>,
    answered: usize,
    /// Requests whose connection closed without an answer while there were no unplanned faults.
    disconnected: HashSet<String>,
    violations: Vec<String>,
    /// Times at which each deadly request took a server down, with the ids of its attempts, by path.
    deaths: HashMap<String, Vec<(Instant, String)>>,
    /// Deadly requests that were sent to VMs in touch.
    in_touch: HashSet<String>,
    /// Times at which requests arrived at each server.
    arrivals: HashMap<String, Vec<Instant>>,
    /// Limits that each server stated, with the times from which on it did.
    limits: HashMap<String, Vec<(Instant, Option<f64>)>>,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    pub path: String,
    pub body: String,
    pub org: &'static str,
    pub is_idempotent: bool,
}

/// A request as it reached a server.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub id: String,
    pub path: String,
    pub body: String,
    pub org: String,
    pub has_key: bool,
}

impl Ledger {
    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records a request before it is sent.
    pub fn record_sent(&self, sent: &SentRequest) {
        self.with_state(|state| state.sent.insert(sent.id.clone(), sent.clone()));
    }

    /// Records that a server starts to run a request, and checks the request.
    pub fn record_run(&self, received: &ReceivedRequest) {
        let now = Instant::now();
        self.with_state(|state| {
            let Some(sent) = state.sent.get(&received.id).cloned() else {
                state.violations.push(format!("no caller sent {received:?}"));
                return;
            };
            if (&sent.path, &sent.body, sent.org) != (&received.path, &received.body, received.org.as_str()) {
                state.violations.push(format!("{received:?} differs from {sent:?}"));
            }
            if received.has_key {
                state
                    .violations
                    .push(format!("a server received the key of {}", sent.id));
            }
            let runs = state.runs.entry(received.id.clone()).or_default();
            runs.push(now);
            if !sent.is_idempotent && runs.len() > 1 {
                state.violations.push(format!("{} ran twice", sent.id));
            }
            if !sent.is_idempotent && state.refused.contains(&received.id) {
                state
                    .violations
                    .push(format!("{} ran after it was refused as not run", sent.id));
            }
        });
    }

    /// Records that a deadly request took a server down.
    pub fn record_death(&self, path: &str, id: &str) {
        let death = (Instant::now(), id.to_owned());
        self.with_state(|state| state.deaths.entry(path.to_owned()).or_default().push(death));
    }

    /// Records that a deadly request is sent to a VM that is in touch.
    pub fn record_in_touch(&self, id: &str) {
        self.with_state(|state| state.in_touch.insert(id.to_owned()));
    }

    /// Records that a request arrived at a server, whether it runs or not.
    pub fn record_arrival(&self, server: &str) {
        let now = Instant::now();
        self.with_state(|state| state.arrivals.entry(server.to_owned()).or_default().push(now));
    }

    /// Records that a server states a limit from now on, or none. A text that is not a limit limits nothing.
    pub fn record_limit(&self, server: &str, limit: Option<&str>) {
        let now = Instant::now();
        let per_s = limit
            .and_then(|text| text.parse().ok())
            .filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0);
        self.with_state(|state| state.limits.entry(server.to_owned()).or_default().push((now, per_s)));
    }

    /// Records an answer that states that the request has not run.
    pub fn record_refusal(&self, sent: &SentRequest, status: u16) {
        self.with_state(|state| {
            if !sent.is_idempotent && state.runs.contains_key(&sent.id) {
                state
                    .violations
                    .push(format!("{} was refused with {status} after it had run", sent.id));
            }
            state.refused.insert(sent.id.clone());
        });
    }

    /// Records a successful answer and checks its stamp and body.
    pub fn record_answer(&self, sent: &SentRequest, stamp: &str, body: &str) {
        let expected = answer_body(&sent.id);
        self.with_state(|state| {
            state.answered += 1;
            if stamp != sent.id || body != expected {
                let text = format!("{} got the stamp {stamp:?} and {} bytes", sent.id, body.len());
                state.violations.push(text);
            }
        });
    }

    /// Records that a connection closed without an answer while there were no unplanned faults.
    pub fn record_disconnect(&self, sent: &SentRequest) {
        self.with_state(|state| state.disconnected.insert(sent.id.clone()));
    }

    pub fn record_violation(&self, text: String) {
        self.with_state(|state| state.violations.push(text));
    }

    pub fn answer_count(&self) -> usize {
        self.with_state(|state| state.answered)
    }

    /// Every violation found; `limited_org` is an organisation with its rate, which is also its burst.
    pub fn violations(&self, limited_org: (&str, f64)) -> Vec<String> {
        let (org, rate) = limited_org;
        self.with_state(|state| {
            let mut out = state.violations.clone();
            let disconnected = state.disconnected.iter().filter(|id| state.runs.contains_key(*id));
            out.extend(disconnected.map(|id| {
                format!("{id} reached a server, but its connection closed without an answer during planned work")
            }));
            let of_org = state.runs.iter().filter(|(id, _)| state.sent[*id].org == org);
            let mut first_runs: Vec<Instant> = of_org.filter_map(|(_, runs)| runs.first().copied()).collect();
            first_runs.sort_unstable();
            let max_requests = (rate * QUOTA_WINDOW.as_secs_f64() + rate) * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK_REQUESTS;
            let in_window = |from: &Instant| {
                first_runs
                    .iter()
                    .filter(|at| **at >= *from && **at < *from + QUOTA_WINDOW)
                    .count()
            };
            let peak = first_runs.iter().map(in_window).max().unwrap_or_default();
            if peak as f64 > max_requests {
                out.push(format!(
                    "{peak} requests of {org} ran in one window; the limit is {max_requests}"
                ));
            }
            for (path, deaths) in &state.deaths {
                let settled_at = deaths.get(2).map(|(third, _)| *third + DEADLY_SETTLE);
                let is_late = |(at, id): &&(Instant, String)| {
                    settled_at.is_some_and(|settled| *at > settled) && state.in_touch.contains(id)
                };
                let late = deaths.iter().filter(is_late).count();
                if late > MAX_LATE_DEADLY_REQUESTS {
                    out.push(format!(
                        "{path} took down {} servers, {late} of them late",
                        deaths.len()
                    ));
                }
            }
            for (server, stated) in &state.limits {
                let arrivals = state.arrivals.get(server).map_or(&[][..], Vec::as_slice);
                out.extend(limit_violations(server, stated, arrivals));
            }
            out
        })
    }
}

/// Windows in which a server got more requests than its limit allows. All VMs count, also those that have just started.
fn limit_violations(server: &str, stated: &[(Instant, Option<f64>)], arrivals: &[Instant]) -> Vec<String> {
    let mut out = Vec::new();
    for (index, (since, limit)) in stated.iter().enumerate() {
        let Some(limit) = limit else { continue };
        let until = stated.get(index + 1).map_or_else(Instant::now, |(at, _)| *at);
        let bound = (LIMIT_FACTOR * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK_REQUESTS) as usize;
        let counted = |at: &&Instant| **at >= *since + LIMIT_STABLE && **at < until;
        let counted: Vec<Instant> = arrivals.iter().filter(counted).copied().collect();
        let in_window = |from: &Instant| {
            counted
                .iter()
                .filter(|at| **at >= *from && **at < *from + LIMIT_WINDOW)
                .count()
        };
        let peak = counted.iter().map(in_window).max().unwrap_or_default();
        if peak > bound {
            out.push(format!(
                "{server} stated a limit of {limit}/s and got {peak} requests in one window; {bound} are allowed"
            ));
        }
    }
    out
}

/// Body of a server's answer; long enough to arrive in several pieces.
pub fn answer_body(id: &str) -> String {
    format!("{id};").repeat(200)
}
