use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mh_peer::Part;
use mh_platform::ListedVm;
use mh_types::{Event, Revision, VmName, emit};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Node;
use crate::peers::ReceivedHeartbeat;

/// Mean time between two heartbeats to the same peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Kind of the message part that contains a [`Heartbeat`].
const HEARTBEAT_PART: u16 = 1;
/// Kind of the message part that requests a freshness report; it contains the report's scope.
pub(crate) const REPORT_REQUEST_PART: u16 = 2;
/// Kind of the message part that contains a freshness report.
pub(crate) const REPORT_PART: u16 = 3;

/// State of the sender in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    revision: Revision,
    leaving: bool,
}

/// Exchanges heartbeats with the other VMs, periodically and immediately after a change.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let others: Vec<ListedVm> = node.peers.lock().others(&node.cfg.vm).cloned().collect();
        for other in others {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.send_heartbeat(other).await });
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL.mul_f64(rand::random_range(0.9..1.1))) => {}
            () = node.heartbeat_now.notified() => {}
        }
        node.publish();
        node.tick_crash_reports();
    }
}

impl Node {
    pub(crate) fn heartbeat_parts(&self) -> Vec<Part> {
        let heartbeat = Heartbeat {
            revision: self.local_settings.lock().revision(),
            leaving: self.is_leaving(),
        };
        let body = postcard::to_stdvec(&heartbeat).map(Bytes::from).unwrap_or_default();
        std::iter::once(Part {
            kind: HEARTBEAT_PART,
            body,
        })
        .chain(self.shifts.evidence_part())
        .collect()
    }

    async fn send_heartbeat(self: Arc<Self>, other: ListedVm) {
        let Some(net) = self.net.get() else { return };
        let requested_at = Instant::now();
        match net.exchange(other.peer, self.hello(), self.heartbeat_parts()).await {
            Ok(answer) if answer.from.vm == other.name => {
                self.on_heartbeat(&answer, requested_at);
                self.shifts
                    .merge_evidence(&answer.from.vm, &answer.parts, Some(requested_at));
            }
            Ok(_) => {}
            Err(code) => log::debug!(target: "mangohook", "heartbeat to {} failed: {code}", other.name),
        }
    }

    /// Records a peer's heartbeat and returns the settings revision that the peer holds.
    pub(crate) fn on_heartbeat(&self, exchange: &mh_peer::Exchange, at: Instant) -> Option<Revision> {
        let part = exchange.parts.iter().find(|part| part.kind == HEARTBEAT_PART)?;
        let heartbeat: Heartbeat = match postcard::from_bytes(&part.body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                emit!(Event::PeerMessageInvalid, vm = exchange.from.vm, error = e);
                return None;
            }
        };
        let received = ReceivedHeartbeat {
            at,
            incarnation: exchange.from.incarnation,
            revision: heartbeat.revision,
            leaving: heartbeat.leaving,
        };
        self.peers.lock().record_heartbeat(&exchange.from.vm, received);
        self.with_freshness(|state| {
            state.tracker.on_committed(heartbeat.revision);
            // The planner fetches the changes from this peer if this VM lacks them.
            state.planner.on_response(&exchange.from.vm, heartbeat.revision);
        });
        Some(heartbeat.revision)
    }

    /// Fetches newer settings from a peer; returns `false` if the peer sent none.
    pub(crate) async fn fetch_settings_from(&self, peer: &VmName) -> bool {
        let addr = self.peers.lock().addr_of(peer);
        let (Some(addr), Some(net)) = (addr, self.net.get()) else {
            return false;
        };
        let held = self.local_settings.lock().revision();
        match net.changes(addr, held).await {
            Ok(changes) => self.apply_peer_changes(&changes),
            Err(_) => false,
        }
    }
}
