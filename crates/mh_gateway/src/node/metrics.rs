use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use mh_admin::{Metric, Metrics};

use super::GatewayNode;
use crate::Feed;
use crate::control::UsageView;
use crate::logging::lines_dropped;
use crate::request::Counters;
use tokio::time::Instant;

/// Returns the age of the local copy of `feed` in milliseconds; `u64::MAX` before the first read.
fn age_ms(node: &GatewayNode, feed: Feed) -> u64 {
    node.relay.age_ms(feed, Instant::now()).unwrap_or(u64::MAX)
}

/// Registers the metrics of a gateway VM.
pub(super) fn new_metrics(node: &Arc<GatewayNode>) -> Result<Metrics, Box<dyn Error + Send + Sync>> {
    // The node owns the metrics, so a strong reference would keep the node alive.
    let node = Arc::downgrade(node);
    let counter = |name, help, select: fn(&Counters) -> &AtomicU64| {
        let node = Weak::clone(&node);
        let read = move || {
            node.upgrade()
                .map_or(0, |node| select(node.gateway.counters()).load(Ordering::Relaxed))
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
    let mut metrics = vec![
        counter("requests", "Requests that reached the caller port", |c| &c.requests),
        counter("served", "Requests answered by a backend server", |c| &c.served),
        counter("refused", "Requests refused as not run", |c| &c.refused),
        counter(
            "failed",
            "Requests that ended without an answer and may have run",
            |c| &c.failed,
        ),
        counter("retries", "Requests sent to a second server", |c| &c.retries),
        counter(
            "full",
            "Requests that a server did not admit because of the limit that it stated",
            |c| &c.full,
        ),
        counter("connects", "Connections made to backend servers", |c| &c.connects),
        counter("tunnels", "Tunnels to backend servers through other VMs", |c| {
            &c.tunnels
        }),
        counter(
            "tunnels_for_others",
            "Tunnels to backend servers that were opened for other VMs",
            |c| &c.tunnels_for_others,
        ),
        gauge("cut_off", "Whether this VM reaches no backend server itself", |node| {
            u64::from(node.gateway.paths().is_cut_off())
        }),
        counter("lookups", "Look-ups answered", |c| &c.lookups),
        counter("store_reads", "Calls for changes that the store answered", |c| {
            &c.store_reads
        }),
        counter("store_failures", "Calls for changes that failed", |c| &c.store_failures),
        counter(
            "fetches",
            "Answers of other VMs with changes that this one missed",
            |c| &c.fetches,
        ),
        gauge("running", "Requests running now", |node| {
            node.gateway.counters().running.load(Ordering::Relaxed)
        }),
        gauge("limited_servers", "Servers whose stated limit is in force", |node| {
            node.gateway.limits().with(|limits| limits.limited_servers()) as u64
        }),
        gauge(
            "held_bytes",
            "Memory that bodies of requests and answers hold",
            |node| node.gateway.held_bytes() as u64,
        ),
        gauge("settings_age_ms", "Age of the settings", |node| {
            age_ms(node, Feed::Settings)
        }),
        gauge("servers_age_ms", "Age of the register of servers", |node| {
            age_ms(node, Feed::Servers)
        }),
        gauge(
            "reads_store",
            "Whether this VM reads the store for its region",
            |node| u64::from(node.relay.is_reader()),
        ),
        gauge("log_lines_dropped", "Log lines left out since the start", |_| {
            lines_dropped()
        }),
        gauge("plan_revision", "Revision of the plan in force", |node| {
            node.gateway.live().plan.as_ref().map_or(0, |plan| plan.revision.0)
        }),
        gauge("usable_vms", "VMs that look-ups name", |node| {
            node.gateway.live().vms.len() as u64
        }),
        gauge("sharing_vms", "VMs that limits are divided by", |node| {
            u64::from(node.sharing_vms())
        }),
    ];
    metrics.extend(usage_metrics(&node));
    Metrics::new(metrics)
}

/// Returns the metrics of the usage reports, which are 0 if none are made.
fn usage_metrics(node: &Weak<GatewayNode>) -> [Metric; 4] {
    let metric = |name, help, read: fn(&UsageView) -> u64| {
        let node = Weak::clone(node);
        let read = move || {
            node.upgrade()
                .and_then(|node| node.usage_view())
                .map_or(0, |view| read(&view))
        };
        Metric {
            name,
            help,
            is_counter: false,
            read: Arc::new(read),
        }
    };
    [
        metric("usage_holder", "Whether this VM reports usage", |view| {
            u64::from(view.token.is_some())
        }),
        metric("usage_pending", "Recorded windows that are not yet reported", |view| {
            view.pending as u64
        }),
        metric("usage_reported", "Usage reports accepted since the start", |view| {
            view.reported
        }),
        metric("usage_lost", "Counted requests that no VM could report", |view| {
            view.lost
        }),
    ]
}
