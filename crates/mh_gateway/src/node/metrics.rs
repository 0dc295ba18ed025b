use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use mh_admin::{Metric, Metrics};

use super::GatewayNode;
use crate::request::Counters;

/// Metrics of a gateway VM.
pub(super) fn metrics(node: &Arc<GatewayNode>) -> Result<Metrics, Box<dyn Error + Send + Sync>> {
    // The metrics belong to the node, so they must not keep it alive.
    let node = Arc::downgrade(node);
    let counter = |name, help, pick: fn(&Counters) -> &AtomicU64| {
        let node = Weak::clone(&node);
        let read = move || {
            node.upgrade()
                .map_or(0, |node| pick(node.gateway.counters()).load(Ordering::Relaxed))
        };
        Metric {
            name,
            help,
            is_counter: true,
            read: Arc::new(read),
        }
    };
    let gauge = |name, help, read: fn(&GatewayNode) -> u64| {
        let node = Weak::clone(&node);
        Metric {
            name,
            help,
            is_counter: false,
            read: Arc::new(move || node.upgrade().map_or(0, |node| read(&node))),
        }
    };
    Metrics::new(vec![
        counter("requests", "Requests that reached the caller port", |c| &c.requests),
        counter("served", "Requests answered by a backend server", |c| &c.served),
        counter("refused", "Requests refused as not run", |c| &c.refused),
        counter(
            "failed",
            "Requests that ended without an answer and may have run",
            |c| &c.failed,
        ),
        counter("retries", "Requests sent to a second server", |c| &c.retries),
        counter("connects", "Connections made to backend servers", |c| &c.connects),
        counter("lookups", "Look-ups answered", |c| &c.lookups),
        gauge("plan_revision", "Revision of the plan in force", |node| {
            node.gateway.live().plan.as_ref().map_or(0, |plan| plan.revision.0)
        }),
        gauge("usable_vms", "VMs that look-ups name", |node| {
            node.gateway.live().vms.len() as u64
        }),
        gauge("sharing_vms", "VMs that limits are divided by", |node| {
            u64::from(node.sharing_vms())
        }),
    ])
}
