use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mh_peer::Part;
use mh_platform::ListedVm;
use mh_types::{Event, Revision, VmName, emit};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Node;
use crate::node::lock;
use crate::peers::Heard;

/// Time between two heartbeats to the same peer.
const INTERVAL: Duration = Duration::from_millis(300);

/// Kind of the part that holds a [`Beat`].
const BEAT: u16 = 1;
/// Kind of the part that asks for a report on settings; it holds the scope.
pub(crate) const ASK: u16 = 2;
/// Kind of the part that holds a report on settings.
pub(crate) const REPORT: u16 = 3;

/// What every heartbeat says of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Beat {
    revision: Revision,
    leaving: bool,
}

/// Exchanges heartbeats with the other VMs, at once when something changed.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let others: Vec<ListedVm> = lock(&node.peers).others(&node.cfg.vm).cloned().collect();
        for other in others {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.beat(other).await });
        }
        tokio::select! {
            () = tokio::time::sleep(INTERVAL.mul_f64(rand::random_range(0.9..1.1))) => {}
            () = node.beat_now.notified() => {}
        }
        node.publish();
    }
}

impl Node {
    pub(crate) fn parts(&self) -> Vec<Part> {
        let beat = Beat {
            revision: lock(&self.control).revision(),
            leaving: self.is_leaving(),
        };
        let body = postcard::to_stdvec(&beat).map(Bytes::from).unwrap_or_default();
        std::iter::once(Part { kind: BEAT, body })
            .chain(self.shifts.evidence_part())
            .collect()
    }

    async fn beat(self: Arc<Self>, other: ListedVm) {
        let Some(net) = self.net.get() else { return };
        let asked_at = Instant::now();
        match net.exchange(other.peer, self.hello(), self.parts()).await {
            Ok(answer) if answer.from.vm == other.name => {
                self.hear(&answer, asked_at);
                self.shifts.merge(&answer.from.vm, &answer.parts, Some(asked_at));
            }
            Ok(_) => {}
            Err(code) => log::debug!(target: "mangohook", "heartbeat to {} failed: {code}", other.name),
        }
    }

    /// Records a peer's heartbeat; returns its revision.
    pub(crate) fn hear(&self, exchange: &mh_peer::Exchange, at: Instant) -> Option<Revision> {
        let part = exchange.parts.iter().find(|part| part.kind == BEAT)?;
        let beat: Beat = match postcard::from_bytes(&part.body) {
            Ok(beat) => beat,
            Err(e) => {
                emit!(Event::PeerMessageInvalid, vm = exchange.from.vm, error = e);
                return None;
            }
        };
        let heard = Heard {
            at,
            incarnation: exchange.from.incarnation,
            revision: beat.revision,
            leaving: beat.leaving,
        };
        lock(&self.peers).hear(&exchange.from.vm, heard);
        self.with_currency(|state| {
            state.fresh.on_committed(beat.revision);
            // The planner asks this peer for the changes when this VM lacks them.
            state.fetch.on_response(&exchange.from.vm, beat.revision);
        });
        Some(beat.revision)
    }

    /// Fetches newer settings from a peer; `false` when it gave none.
    pub(crate) async fn fetch_from(&self, peer: &VmName) -> bool {
        let addr = lock(&self.peers).addr_of(peer);
        let (Some(addr), Some(net)) = (addr, self.net.get()) else {
            return false;
        };
        let held = lock(&self.control).revision();
        match net.changes(addr, held).await {
            Ok(changes) => self.take_from_peer(&changes),
            Err(_) => false,
        }
    }
}
