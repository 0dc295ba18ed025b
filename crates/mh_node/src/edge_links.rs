use std::fmt;
use std::sync::Arc;

use mh_budget::Answer;
use mh_edge::{BoxFuture, DeferredRequest, EdgeLinks};
use mh_once::{CallerChosenId, ClaimStep};
use mh_peer::{Operation, OperationAnswer, OperationError};
use mh_types::{Code, OrgName, VmName};

use crate::Node;

/// Connects the edge to the platform's services and to the other VMs.
pub(crate) struct NodeEdgeLinks(pub(crate) Arc<Node>);

impl fmt::Debug for NodeEdgeLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("NodeEdgeLinks").field(&self.0.cfg.vm).finish()
    }
}

impl EdgeLinks for NodeEdgeLinks {
    fn ask_token<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<Answer>> {
        Box::pin(self.0.request_token(vm, org))
    }

    fn defer(&self, req: DeferredRequest) -> BoxFuture<'_, bool> {
        Box::pin(async move { self.0.defer(&req).await })
    }

    fn claim<'a>(&'a self, id: &'a CallerChosenId) -> BoxFuture<'a, ClaimStep> {
        Box::pin(self.0.claims.claim(id))
    }

    fn forward<'a>(
        &'a self,
        vm: &'a VmName,
        operation: Operation,
    ) -> BoxFuture<'a, Result<OperationAnswer, OperationError>> {
        Box::pin(async move {
            let not_sent = OperationError {
                code: Code::PeerUnreachable,
                sent: false,
            };
            let addr = self.0.peers.lock().addr_of(vm).ok_or(not_sent)?;
            self.0.net.get().ok_or(not_sent)?.operate(addr, operation).await
        })
    }
}
