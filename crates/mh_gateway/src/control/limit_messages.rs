use mh_limit::{Ask, LimitVm, Msg, Outbox};
use mh_types::{ServerName, VmName};
use tokio::time::Instant;

use super::Datagram;
use crate::node::GatewayNode;
use crate::{AnnouncedVm, LiveState};

impl GatewayNode {
    /// Sends the statements and digests that are due, and forgets the limits of servers that are no longer listed.
    pub(super) fn tick_limits(&self, now: Instant) {
        let live = self.gateway.live();
        let out = self.gateway.limits().with(|limits| {
            limits.retain_servers(|server| is_listed(&live, server));
            limits.on_tick(now, rand::random())
        });
        self.send_limit_msgs(out);
    }

    /// Handles statements and digests of another VM.
    pub(super) fn on_limit_msg(&self, from: &VmName, msg: Msg) {
        let live = self.gateway.live();
        let out = self
            .gateway
            .limits()
            .on_msg(from, msg, |server| is_listed(&live, server));
        self.send_limit_msgs(out);
    }

    /// Answers another VM that asks to admit a request.
    pub(super) fn on_limit_ask(&self, from: &VmName, number: u64, ask: &Ask, now: Instant) {
        let reply = self.gateway.limits().with(|limits| limits.on_ask(now, ask));
        if let Some(addr) = self.peer_addr(from) {
            self.send_to(addr, &Datagram::LimitReply { number, reply });
        }
    }

    fn send_limit_msgs(&self, out: Outbox) {
        for (vm, msg) in out {
            if let Some(addr) = self.peer_addr(&vm) {
                self.send_to(addr, &Datagram::Limits(msg));
            }
        }
    }
}

/// Returns the listed VMs that may admit requests. A VM that is leaving, or that the list leaves out, is none of them on
/// any VM, also not on itself: the others ask its successor already.
pub(super) fn admitting_vms<'a>(
    listed: impl Iterator<Item = &'a AnnouncedVm>,
    is_usable: impl Fn(&VmName) -> bool,
) -> Vec<LimitVm> {
    let usable = listed.filter(|vm| is_usable(&vm.vm));
    let admitting = usable.map(|vm| LimitVm {
        vm: vm.vm.clone(),
        domain: vm.domain.clone(),
        region: vm.region.clone(),
    });
    admitting.collect()
}

fn is_listed(live: &LiveState, server: &ServerName) -> bool {
    live.backends.values().any(|backends| backends.pool.contains(server))
}
