//! Record of what was sent, answered and run.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub server: String,
    pub version: String,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub vm: usize,
    pub what: String,
    /// Time and status of the answer; status 0 for a connection that ended without one.
    pub answered: Option<(Duration, u16)>,
    pub is_marked_leaving: bool,
    pub stamp: String,
}

pub struct Ledger {
    started: Instant,
    next_id: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    pub sent: Mutex<HashMap<String, Sent>>,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Ledger {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            next_id: AtomicU64::new(1),
            runs: Mutex::default(),
            sent: Mutex::default(),
            lines: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        self.lines.lock().unwrap().push((self.now(), text.to_owned()));
    }

    pub fn new_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000_0000_0000_u64 + self.next_id.fetch_add(1, Ordering::SeqCst)
        )
    }

    pub fn sent(&self, id: &str, vm: usize, what: &str) {
        let sent = Sent {
            at: self.now(),
            vm,
            what: what.to_owned(),
            answered: None,
            is_marked_leaving: false,
            stamp: String::new(),
        };
        self.note(&format!("client sends {what} {id} to vm {vm}"));
        self.sent.lock().unwrap().insert(id.to_owned(), sent);
    }

    pub fn ran(&self, id: &str, server: &str, version: &str) {
        self.note(&format!("server {server} ({version}) begins to run {id}"));
        let run = Run {
            at: self.now(),
            id: id.to_owned(),
            server: server.to_owned(),
            version: version.to_owned(),
        };
        self.runs.lock().unwrap().push(run);
    }

    pub fn answered(&self, id: &str, status: u16, stamp: &str, is_marked_leaving: bool) {
        let mark = if is_marked_leaving { " Server-Leaving" } else { "" };
        self.note(&format!("client gets {status} for {id} stamp '{stamp}'{mark}"));
        if let Some(sent) = self.sent.lock().unwrap().get_mut(id) {
            sent.answered = Some((self.now(), status));
            sent.is_marked_leaving = is_marked_leaving;
            sent.stamp = stamp.to_owned();
        }
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut out = String::new();
        for (at, line) in lines {
            let _ = writeln!(out, "{:8.3} s  {line}", at.as_secs_f64());
        }
        out
    }
}
