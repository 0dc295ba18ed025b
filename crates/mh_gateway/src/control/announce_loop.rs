use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};

use crate::node::GatewayNode;

/// Wait between two attempts to register this VM while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes this VM's entry to the VM list in the store, so that other VMs find it.
pub(crate) async fn announce(node: Arc<GatewayNode>) {
    let vm = node.announced();
    while let Err(e) = node.source.announce(&vm).await {
        emit!(Event::StoreWriteFailed, what = "announce", error = e.current_context());
        tokio::time::sleep(RETRY_INTERVAL).await;
        if node.gateway.is_leaving() {
            return;
        }
    }
}

/// Removes this VM's entry from the VM list. If that fails, the entry stays; other VMs ignore it once this VM stops
/// answering.
pub(crate) async fn withdraw(node: &GatewayNode) {
    if let Err(e) = node.source.withdraw(node.gateway.vm()).await {
        emit!(Event::StoreWriteFailed, what = "withdraw", error = e.current_context());
    }
}
