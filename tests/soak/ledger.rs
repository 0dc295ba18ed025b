use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Window and tolerance in which an organisation's requests are counted, from the users' bounds.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_EXCESS: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// What callers sent and servers ran, and every promise that was broken.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    sent: HashMap<String, Sent>,
    runs: HashMap<String, Vec<Instant>>,
    /// Requests that a caller was told have not run and never will.
    refused: HashSet<String>,
    answered: usize,
    /// Requests whose connection ended without an answer, in planned work only.
    cut: HashSet<String>,
    violations: Vec<String>,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub path: String,
    pub body: String,
    pub org: &'static str,
    pub is_idempotent: bool,
}

/// A request as it reached a server.
#[derive(Debug)]
pub struct Arrived {
    pub id: String,
    pub path: String,
    pub body: String,
    pub org: String,
    pub has_key: bool,
}

impl Ledger {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn sent(&self, sent: &Sent) {
        self.with(|state| state.sent.insert(sent.id.clone(), sent.clone()));
    }

    /// A server begins to work on a request.
    pub fn runs(&self, arrived: &Arrived) {
        let now = Instant::now();
        self.with(|state| {
            let Some(sent) = state.sent.get(&arrived.id).cloned() else {
                state.violations.push(format!("nobody sent {arrived:?}"));
                return;
            };
            if (&sent.path, &sent.body, sent.org) != (&arrived.path, &arrived.body, arrived.org.as_str()) {
                state.violations.push(format!("{arrived:?} differs from {sent:?}"));
            }
            if arrived.has_key {
                state.violations.push(format!("a server saw the key of {}", sent.id));
            }
            let runs = state.runs.entry(arrived.id.clone()).or_default();
            runs.push(now);
            if !sent.is_idempotent && runs.len() > 1 {
                state.violations.push(format!("{} ran twice", sent.id));
            }
            if !sent.is_idempotent && state.refused.contains(&arrived.id) {
                state
                    .violations
                    .push(format!("{} ran after it was refused as not run", sent.id));
            }
        });
    }

    /// A caller got an answer that says that its request has not run.
    pub fn refused(&self, sent: &Sent, status: u16) {
        self.with(|state| {
            if !sent.is_idempotent && state.runs.contains_key(&sent.id) {
                state.violations.push(format!("{} got {status} and had run", sent.id));
            }
            state.refused.insert(sent.id.clone());
        });
    }

    /// A caller got a success with this stamp and body.
    pub fn answered(&self, sent: &Sent, stamp: &str, body: &str) {
        let expected = answer_body(&sent.id);
        self.with(|state| {
            state.answered += 1;
            if stamp != sent.id || body != expected {
                let text = format!("{} got the stamp {stamp:?} and {} bytes", sent.id, body.len());
                state.violations.push(text);
            }
        });
    }

    /// A caller's connection ended without an answer to a request, with no unplanned fault around.
    pub fn cut(&self, sent: &Sent) {
        self.with(|state| state.cut.insert(sent.id.clone()));
    }

    pub fn violate(&self, text: String) {
        self.with(|state| state.violations.push(text));
    }

    pub fn answers(&self) -> usize {
        self.with(|state| state.answered)
    }

    /// Every broken promise; `limited` is an organisation with its rate and burst.
    pub fn violations(&self, limited: (&str, f64)) -> Vec<String> {
        let (org, rate) = limited;
        self.with(|state| {
            let mut out = state.violations.clone();
            let cut = state.cut.iter().filter(|id| state.runs.contains_key(*id));
            out.extend(cut.map(|id| format!("{id} reached a server and was cut in planned work")));
            let of_org = state.runs.iter().filter(|(id, _)| state.sent[*id].org == org);
            let mut firsts: Vec<Instant> = of_org.filter_map(|(_, runs)| runs.first().copied()).collect();
            firsts.sort_unstable();
            let most = (rate * QUOTA_WINDOW.as_secs_f64() + rate) * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK;
            let in_window = |from: &Instant| {
                firsts
                    .iter()
                    .filter(|at| **at >= *from && **at < *from + QUOTA_WINDOW)
                    .count()
            };
            let peak = firsts.iter().map(in_window).max().unwrap_or_default();
            if peak as f64 > most {
                out.push(format!("{peak} requests of {org} ran in one window, allowed {most}"));
            }
            out
        })
    }
}

/// What a server answers; long enough that it arrives in several pieces.
pub fn answer_body(id: &str) -> String {
    format!("{id};").repeat(200)
}
