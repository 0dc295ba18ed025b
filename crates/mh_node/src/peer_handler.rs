use std::fmt;
use std::sync::Arc;

use mh_peer::{BoxFuture, Changes, Exchange, Operation, OperationAnswer, PeerHandler};
use mh_types::{Event, Revision, emit};
use tokio::time::Instant;

use crate::Node;
use crate::heartbeat::REPORT_REQUEST_PART;

/// Handles the calls of the other VMs.
pub(crate) struct NodePeerHandler(pub(crate) Arc<Node>);

impl fmt::Debug for NodePeerHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("NodePeerHandler").field(&self.0.cfg.vm).finish()
    }
}

impl PeerHandler for NodePeerHandler {
    fn exchange(&self, exchange: Exchange) -> Exchange {
        let node = &self.0;
        node.on_heartbeat(&exchange, Instant::now());
        node.shifts.merge_evidence(&exchange.from.vm, &exchange.parts, None);
        node.on_crash_reports(&exchange.from.vm, &exchange.parts);
        let mut parts = node.heartbeat_parts();
        parts.extend(node.respond_to_lending(&exchange.from.vm, &exchange.parts));
        let report_request = exchange.parts.iter().find(|part| part.kind == REPORT_REQUEST_PART);
        match report_request.map(|part| postcard::from_bytes(&part.body)) {
            Some(Ok(scope)) => parts.push(node.report_part(scope)),
            Some(Err(e)) => emit!(Event::PeerMessageInvalid, vm = exchange.from.vm, error = e),
            None => {}
        }
        Exchange {
            from: node.hello(),
            parts,
        }
    }

    fn changes(&self, since: Revision) -> Changes {
        let local_settings = self.0.local_settings.lock();
        let revision = local_settings.revision();
        match local_settings.changes_since(since) {
            Some(rows) => Changes {
                revision,
                whole: false,
                rows,
            },
            None => Changes {
                revision,
                whole: true,
                rows: local_settings.all_rows(),
            },
        }
    }

    fn operate(&self, operation: Operation) -> BoxFuture<OperationAnswer> {
        let edge = Arc::clone(&self.0.edge);
        Box::pin(async move { edge.run_forwarded_operation(operation).await })
    }
}
