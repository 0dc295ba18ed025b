//! Messages between the VMs and the holder of the duty, and its view for the state dump.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_types::VmName;
use mh_usage::{Duty, DutyRow, Msg};
use tokio::time::Instant;

use super::{UsageView, token_of};
use crate::control::Datagram;
use crate::node::GatewayNode;

/// Time for the last messages of a VM that stops.
const HANDOVER_TIME: Duration = Duration::from_millis(50);

impl GatewayNode {
    /// Returns the holder of the duty as the feed names it.
    pub(super) fn known_usage_duty(&self) -> Option<DutyRow> {
        self.control.lock().deployment.usage_duty.clone()
    }

    /// Sends this VM's counts to the holder.
    pub(super) fn send_usage(&self, now: Instant) {
        let (Some(usage), Some(known)) = (self.usage.get(), self.known_usage_duty()) else {
            return;
        };
        // The feed may not name this VM yet.
        let own = token_of(&usage.duty.lock());
        let token = own.unwrap_or(known.token);
        let messages = self.gateway.usage().with(|counter, clock| {
            let (wall, own_wall) = (clock.wall(now), clock.own(now));
            counter.messages(wall, own_wall, token)
        });
        let messages = messages.unwrap_or_default();
        if own.is_some() {
            let acks: Vec<_> = match &mut *usage.duty.lock() {
                Duty::Holding(holding) => {
                    let acks = messages.iter().map(|msg| holding.on_counts(now, &self.cfg.vm, msg));
                    acks.flatten().collect()
                }
                // The duty was lost meanwhile; unacknowledged counts are sent again.
                Duty::Waiting(_) | Duty::Claiming(_) => Vec::new(),
            };
            for ack in acks {
                self.on_usage_ack(&ack, now);
            }
            return;
        }
        let addr = self.peer_addr(&known.holder).filter(|_| known.holder != self.cfg.vm);
        let Some(addr) = addr else { return };
        for msg in messages {
            self.send_to(addr, &Datagram::Usage(Msg::Counts(msg)));
        }
    }

    /// Handles a message about usage, which another VM sent from `addr`.
    pub(crate) fn on_usage_msg(&self, from: &VmName, addr: SocketAddr, msg: Msg, now: Instant) {
        let Some(usage) = self.usage.get() else { return };
        match msg {
            Msg::Counts(counts) => {
                let ack = match &mut *usage.duty.lock() {
                    Duty::Holding(holding) => holding.on_counts(now, from, &counts),
                    Duty::Waiting(_) | Duty::Claiming(_) => None,
                };
                if let Some(ack) = ack {
                    self.send_to(addr, &Datagram::Usage(Msg::Ack(ack)));
                }
            }
            Msg::Ack(ack) => self.on_usage_ack(&ack, now),
        }
    }

    fn on_usage_ack(&self, ack: &mh_usage::Ack, now: Instant) {
        self.gateway.usage().with(|counter, clock| {
            counter.on_ack(ack);
            if let Some(wall) = ack.wall {
                clock.observe_fleet(now, wall);
            }
        });
    }

    /// Sends this VM's last counts before the process ends.
    pub(crate) async fn hand_over_usage(&self) {
        if self.usage.get().is_some() {
            self.send_usage(Instant::now());
            tokio::time::sleep(HANDOVER_TIME).await;
        }
    }

    /// Returns the state of the usage reports; `None` if none are made.
    pub(crate) fn usage_view(&self) -> Option<UsageView> {
        let usage = self.usage.get()?;
        let holder = self.known_usage_duty().map(|row| row.holder);
        let (lost, counted_windows) = self
            .gateway
            .usage()
            .with(|counter, _| (counter.lost(), counter.windows()))?;
        let duty = usage.duty.lock();
        let (next_window, pending) = match &*duty {
            Duty::Holding(holding) => (Some(holding.next_window()), holding.reports().len()),
            Duty::Waiting(_) | Duty::Claiming(_) => (None, 0),
        };
        Some(UsageView {
            holder,
            token: token_of(&duty),
            next_window,
            pending,
            reported: usage.reported.load(Ordering::Relaxed),
            lost,
            counted_windows,
        })
    }
}
