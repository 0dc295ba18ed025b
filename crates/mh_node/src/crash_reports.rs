use std::fmt;
use std::sync::{Arc, Weak};

use bytes::Bytes;
use mh_edge::CrashPeers;
use mh_peer::Part;
use mh_poison::{Msg, Outbox, QuarantineEntry};
use mh_types::{Event, VmName, emit};
use tokio::time::Instant;

use crate::Node;

/// Kind of the message part that contains reports of crashes and quarantines.
const CRASH_REPORT_PART: u16 = 9;

/// Sends reports of crashes to the other VMs.
pub(crate) struct NodeCrashPeers(pub(crate) Weak<Node>);

impl fmt::Debug for NodeCrashPeers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeCrashPeers")
    }
}

impl CrashPeers for NodeCrashPeers {
    fn send(&self, out: Outbox) {
        if let Some(node) = self.0.upgrade() {
            node.send_crash_reports(out);
        }
    }

    /// Does nothing: quarantines of this VM live in the memory of the VMs only.
    fn record(&self, _begun: Vec<QuarantineEntry>) {}
}

impl Node {
    /// Sends reports; a lost one is made good by later rounds.
    pub(crate) fn send_crash_reports(self: &Arc<Self>, out: Outbox) {
        for (vm, msg) in out {
            let node = Arc::clone(self);
            tokio::spawn(async move {
                let addr = node.peers.lock().addr_of(&vm);
                let (Some(addr), Some(net)) = (addr, node.net.get()) else {
                    return;
                };
                let part = Part {
                    kind: CRASH_REPORT_PART,
                    body: postcard::to_stdvec(&msg).map(Bytes::from).unwrap_or_default(),
                };
                let _ = net.exchange(addr, node.hello(), vec![part]).await;
            });
        }
    }

    /// Handles the reports among the parts of another VM's message.
    pub(crate) fn on_crash_reports(self: &Arc<Self>, from: &VmName, parts: &[Part]) {
        for part in parts.iter().filter(|part| part.kind == CRASH_REPORT_PART) {
            match postcard::from_bytes::<Msg>(&part.body) {
                Ok(msg) => self.send_crash_reports(self.edge.poison().on_msg(msg)),
                Err(e) => emit!(Event::PeerMessageInvalid, vm = from, error = e),
            }
        }
    }

    /// Tells other VMs of current quarantines, and forgets what has expired.
    pub(crate) fn tick_crash_reports(self: &Arc<Self>) {
        let others = self
            .peers
            .lock()
            .others(&self.cfg.vm)
            .map(|vm| vm.name.clone())
            .collect::<Vec<_>>();
        let out = self.edge.poison().with(|guard, _| {
            guard.set_vms(others.into_iter().chain([self.cfg.vm.clone()]).collect());
            guard.on_tick(Instant::now(), rand::random())
        });
        self.send_crash_reports(out);
    }
}
