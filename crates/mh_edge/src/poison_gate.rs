use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use mh_poison::{AnsweredTable, CrashGuard, Fingerprint, Msg, Outbox, Quarantined, ServerRun};
use mh_sync::Mutex;
use mh_types::{Code, Event, ServerName, VmName, emit};
use tokio::time::Instant;

use crate::{ConnectionPool, CrashPeers, Dial, DirectDial};

/// Time in which further requests that were lost in the same crash are collected.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Longest wait for a connection to a server that may have crashed: several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A server, and the start of its run where that is known.
type LostAt = (ServerName, Option<u64>);

/// The requests that crash servers, as requests and control loops use them.
///
/// While nothing is suspected, requests read one atomic flag and record their answers in a table of atomics.
#[derive(Debug)]
pub struct PoisonGate {
    guard: Mutex<CrashGuard>,
    has_records: AtomicBool,
    answered: AnsweredTable,
    /// Requests that were lost at a server since the last check whether it is up.
    lost: Mutex<HashMap<LostAt, Vec<Fingerprint>>>,
    peers: OnceLock<Arc<dyn CrashPeers>>,
    dial: OnceLock<Arc<dyn Dial>>,
}

impl PoisonGate {
    /// Creates the gate of a VM.
    pub fn new(vm: VmName) -> Self {
        Self {
            guard: Mutex::new(CrashGuard::new(vm)),
            has_records: AtomicBool::new(false),
            answered: AnsweredTable::new(Instant::now()),
            lost: Mutex::default(),
            peers: OnceLock::new(),
            dial: OnceLock::new(),
        }
    }

    /// Sets how servers that may have crashed are contacted; by default each is connected to.
    pub fn set_dial(&self, dial: Arc<dyn Dial>) {
        // A second call has no effect.
        let _ = self.dial.set(dial);
    }

    /// Runs `f` with the decision state, and logs which requests it quarantines or releases.
    pub fn with<T>(&self, f: impl FnOnce(&mut CrashGuard, &AnsweredTable) -> T) -> T {
        let mut guard = self.guard.lock();
        let now = Instant::now();
        let before = guard.quarantined(now);
        let out = f(&mut guard, &self.answered);
        let after = guard.quarantined(now);
        let begun = guard.take_begun();
        self.has_records.store(!guard.is_empty(), Ordering::Relaxed);
        drop(guard);
        if let Some(peers) = self.peers.get().filter(|_| !begun.is_empty()) {
            peers.record(begun);
        }
        let is_in =
            |list: &[mh_poison::QuarantineEntry], fingerprint| list.iter().any(|e| e.fingerprint == fingerprint);
        for entry in after.iter().filter(|entry| !is_in(&before, entry.fingerprint)) {
            emit!(
                Event::RequestQuarantined,
                request = entry.fingerprint,
                for_ms = entry.remaining_ms,
                count = entry.count,
                first_crash_ms = entry.first_crash_ms
            );
        }
        for entry in before.iter().filter(|entry| !is_in(&after, entry.fingerprint)) {
            emit!(
                Event::RequestQuarantined,
                request = entry.fingerprint,
                for_ms = 0,
                count = entry.count
            );
        }
        out
    }

    /// Sets the access to other VMs.
    pub fn set_peers(&self, peers: Arc<dyn CrashPeers>) {
        // A second call has no effect.
        let _ = self.peers.set(peers);
    }

    /// Decides whether a request may be sent to a server.
    ///
    /// # Errors
    ///
    /// [`Quarantined`] if it may not be sent now.
    pub fn admit(&self, fingerprint: &Fingerprint) -> Result<(), Quarantined> {
        if !self.has_records.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.guard.lock().admit(Instant::now(), fingerprint)
    }

    /// Returns whether a request that was lost may be sent to another server for the same attempt of its caller.
    pub fn may_retry(&self, fingerprint: &Fingerprint) -> bool {
        !self.has_records.load(Ordering::Relaxed) || self.guard.lock().may_retry(fingerprint)
    }

    /// Records that a server answered a request.
    pub fn on_answer(&self, fingerprint: &Fingerprint) {
        self.answered.record(Instant::now(), fingerprint);
        if self.has_records.load(Ordering::Relaxed) {
            let out = self.with(|guard, _| guard.on_answer(fingerprint));
            self.send(out);
        }
    }

    /// Records that the connection to a server broke while it had the request. If the server turns out to be down, it
    /// has crashed. `run` is the start of its run; without it, each crash that this VM sees counts as another one.
    pub fn on_lost(
        self: &Arc<Self>,
        server: &ServerName,
        run: Option<u64>,
        connections: &Arc<ConnectionPool>,
        fingerprint: Fingerprint,
    ) {
        let lost_at = (server.clone(), run);
        let mut lost = self.lost.lock();
        let is_first = !lost.contains_key(&lost_at);
        lost.entry(lost_at.clone()).or_default().push(fingerprint);
        drop(lost);
        if is_first {
            let (gate, connections) = (Arc::clone(self), Arc::clone(connections));
            tokio::spawn(async move { gate.check_crash(lost_at, &connections).await });
        }
    }

    async fn check_crash(&self, lost_at: LostAt, connections: &Arc<ConnectionPool>) {
        tokio::time::sleep(COLLECT_TIME).await;
        let dial: &dyn Dial = self.dial.get().map_or(&DirectDial, Arc::as_ref);
        let is_up = match connections.open(dial, PROBE_TIMEOUT).await {
            Ok(connection) => {
                connection.release();
                true
            }
            // A VM that reaches no server knows nothing about this one.
            Err(code) => code == Code::NoPath,
        };
        let lost = self.lost.lock().remove(&lost_at).unwrap_or_default();
        if is_up {
            return;
        }
        let (server, run) = lost_at;
        let server_run = ServerRun::new(server.as_str(), run.unwrap_or_else(rand::random));
        emit!(Event::ServerCrashed, server = server, lost = lost.len());
        let now = Instant::now();
        let out = self.with(|guard, answered| guard.on_crash(now, server_run, &lost, answered));
        self.send(out);
    }

    /// Handles a message of another VM and returns the messages to send.
    pub fn on_msg(&self, msg: Msg) -> Outbox {
        self.with(|guard, answered| guard.on_msg(Instant::now(), msg, answered))
    }

    fn send(&self, out: Outbox) {
        if let Some(peers) = self.peers.get().filter(|_| !out.is_empty()) {
            peers.send(out);
        }
    }
}
