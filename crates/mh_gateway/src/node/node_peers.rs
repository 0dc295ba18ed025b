use std::sync::Weak;
use std::time::Duration;

use mh_budget::Answer;
use mh_limit::{Ask, Reply};
use mh_platform::BoxFuture;
use mh_poison::Outbox;
use mh_types::{OrgName, VmName};

use super::GatewayNode;
use crate::control::Datagram;
use crate::{CrashPeers, LimitPeers, QuotaPeers};

/// Longest wait for the reply of another VM: a round trip between regions and a margin.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

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

    /// Requests one token of a quota from another VM's share; `None` after [`REPLY_TIMEOUT`].
    async fn ask_quota(&self, vm: &VmName, org: &OrgName) -> Option<Answer> {
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
