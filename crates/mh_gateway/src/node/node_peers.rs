use std::sync::{Arc, Weak};
use std::time::Duration;

use mh_budget::Answer;
use mh_edge::CrashPeers;
use mh_limit::{Ask, Reply};
use mh_platform::BoxFuture;
use mh_poison::{Outbox, QuarantineEntry};
use mh_types::{Event, OrgName, VmName, emit};
use tokio::time::Instant;

use super::GatewayNode;
use crate::control::Datagram;
use crate::{LimitPeers, QuotaPeers, StoredQuarantine, Update};

/// Longest wait for the reply of another VM: a round trip between regions and a margin.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// Wait between two attempts to write a quarantine while the store does not answer.
const QUARANTINE_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Quarantines that are applied at a time.
const QUARANTINES_PER_MSG: usize = 32;

/// Sends requests for quota to other VMs through the node's socket.
#[derive(Debug)]
pub(super) struct NodeQuotaPeers(pub(super) Weak<GatewayNode>);

impl QuotaPeers for NodeQuotaPeers {
    fn ask<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<Answer>> {
        Box::pin(async move { self.0.upgrade()?.ask_quota(vm, org).await })
    }
}

/// Asks other VMs to admit requests through the node's socket.
#[derive(Debug)]
pub(super) struct NodeLimitPeers(pub(super) Weak<GatewayNode>);

impl LimitPeers for NodeLimitPeers {
    fn ask<'a>(&'a self, vm: &'a VmName, ask: &'a Ask) -> BoxFuture<'a, Option<Reply>> {
        Box::pin(async move { self.0.upgrade()?.ask_limit(vm, ask).await })
    }
}

/// Sends reports of crashes to other VMs through the node's socket.
#[derive(Debug)]
pub(super) struct NodeCrashPeers(pub(super) Weak<GatewayNode>);

impl CrashPeers for NodeCrashPeers {
    fn send(&self, out: Outbox) {
        if let Some(node) = self.0.upgrade() {
            node.send_crash_msgs(out);
        }
    }

    fn record(&self, begun: Vec<QuarantineEntry>) {
        if let Some(node) = self.0.upgrade() {
            tokio::spawn(async move { node.store_quarantines(begun).await });
        }
    }
}

impl GatewayNode {
    /// Sends messages about requests that crash servers.
    pub(crate) fn send_crash_msgs(&self, out: Outbox) {
        for (vm, msg) in out {
            if let Some(addr) = self.peer_addr(&vm) {
                self.send_to(addr, &Datagram::Crashes(msg));
            }
        }
    }

    /// Writes quarantines to the store, until that succeeds.
    async fn store_quarantines(&self, begun: Vec<QuarantineEntry>) {
        let started = Instant::now();
        for entry in begun {
            let end = started + Duration::from_millis(entry.remaining_ms);
            while Instant::now() < end {
                let remaining_ms = (end - Instant::now()).as_millis() as u64;
                let entry = QuarantineEntry { remaining_ms, ..entry };
                let clock = self
                    .control
                    .lock()
                    .deployment
                    .store_clock(Instant::now())
                    .unwrap_or_default();
                let stored = StoredQuarantine::new(&entry, clock);
                let Err(e) = self.source.record_quarantine(&stored).await else {
                    break;
                };
                emit!(
                    Event::StoreWriteFailed,
                    what = "quarantine",
                    error = e.current_context()
                );
                tokio::time::sleep(QUARANTINE_WRITE_INTERVAL).await;
            }
        }
    }

    /// Applies quarantines that were read from the store at its time `clock`.
    pub(crate) fn apply_stored_quarantines(&self, updates: &[Update], clock: Duration) {
        let stored = updates.iter().filter_map(|update| match update {
            Update::Quarantine(_, Some(stored)) => Some(stored.entry(clock)),
            _ => None,
        });
        let entries: Vec<QuarantineEntry> = stored.collect();
        for entries in entries.chunks(QUARANTINES_PER_MSG) {
            let msg = mh_poison::Msg::Quarantine(entries.iter().copied().collect());
            let out = self.gateway.poison().on_msg(msg);
            self.send_crash_msgs(out);
        }
    }

    /// Removes stored quarantines that are over or were cleared. One VM does so for all.
    pub(crate) fn remove_stored_quarantines(self: &Arc<Self>) {
        let stored = self.control.lock().deployment.quarantined();
        let over = self.gateway.poison().with(|guard, _| {
            let over = stored.into_iter().filter(|fingerprint| !guard.is_known(fingerprint));
            over.collect::<Vec<_>>()
        });
        for fingerprint in over {
            let node = Arc::clone(self);
            tokio::spawn(async move {
                if let Err(e) = node.source.remove_quarantine(&fingerprint).await {
                    emit!(
                        Event::StoreWriteFailed,
                        what = "quarantine",
                        error = e.current_context()
                    );
                }
            });
        }
    }

    /// Requests one token of a quota from another VM's share; `None` after [`REPLY_TIMEOUT`].
    pub(crate) async fn ask_quota(&self, vm: &VmName, org: &OrgName) -> Option<Answer> {
        let addr = self.peer_addr(vm)?;
        let org = org.clone();
        let send = |number| self.send_to(addr, &Datagram::Take { number, org });
        self.pending_token_requests.exchange(send, REPLY_TIMEOUT).await
    }

    /// Asks another VM to admit a request to a server with a limit; `None` after [`REPLY_TIMEOUT`].
    async fn ask_limit(&self, vm: &VmName, ask: &Ask) -> Option<Reply> {
        let addr = self.peer_addr(vm)?;
        let ask = ask.clone();
        let send = |number| self.send_to(addr, &Datagram::LimitAsk { number, ask });
        self.pending_limit_asks.exchange(send, REPLY_TIMEOUT).await
    }
}
