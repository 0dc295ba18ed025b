use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};

use crate::node::GatewayNode;

/// Wait between two tries to list this VM while the store does not answer.
const RETRY: Duration = Duration::from_secs(1);

/// Lists this VM, so that the others find it.
pub(crate) async fn announce(node: Arc<GatewayNode>) {
    let vm = node.announced();
    while let Err(e) = node.source.announce(&vm).await {
        emit!(Event::StoreWriteFailed, what = "announce", error = e.current_context());
        tokio::time::sleep(RETRY).await;
        if node.gateway.is_leaving() {
            return;
        }
    }
}

/// Takes this VM from the list; a failure leaves the entry, which other VMs ignore once the VM does not answer.
pub(crate) async fn withdraw(node: &GatewayNode) {
    if let Err(e) = node.source.withdraw(node.gateway.vm()).await {
        emit!(Event::StoreWriteFailed, what = "withdraw", error = e.current_context());
    }
}
