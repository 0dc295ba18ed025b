use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};

use crate::Node;

/// Mean time between two reads of the list of VMs.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the list of VMs up to date; the last list stays in use while the platform does not answer.
pub(crate) async fn run(node: Arc<Node>) {
    let mut failing = false;
    loop {
        match node.vm_list.read().await {
            Ok(listing) => {
                failing = false;
                if !listing.vms.is_empty() {
                    let is_listed = listing.vms.iter().any(|vm| vm.name == node.cfg.vm);
                    let out = node.allowances.on_vm_list(is_listed);
                    node.send_lending(out);
                }
                let changed = {
                    let mut peers = node.peers.lock();
                    let changed = peers.listing != listing;
                    peers.listing = listing;
                    changed
                };
                if changed {
                    node.publish();
                    node.heartbeat_now.notify_one();
                }
            }
            Err(e) if !failing => {
                failing = true;
                emit!(Event::VmListFailed, error = e);
            }
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}
