use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use mh_admin::{Metric, Metrics};
use mh_edge::PipelineLoad;
use mh_log::lines_dropped;
use mh_route::objects::assignment::MoveTotals;

use super::GatewayNode;
use crate::Feed;
use crate::control::UsageView;
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
    let gauge = |name, help, read| new_gauge(&node, name, help, read);
    let mut metrics = load_metrics(&node);
    metrics.extend([
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
        counter("yielded", "Requests refused because more urgent ones were late", |c| {
            &c.yielded
        }),
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
    ]);
    metrics.extend(pipelining_metrics(&node));
    metrics.extend(placement_metrics(gauge));
    metrics.extend(move_metrics(&node));
    metrics.extend(usage_metrics(&node));
    Metrics::new(metrics)
}

/// Returns the metrics about loads that servers state.
fn load_metrics(node: &Weak<GatewayNode>) -> Vec<Metric> {
    let slow_servers = |node: &GatewayNode| {
        let now = Instant::now();
        let live = node.gateway.live();
        let pools = live.backends.values().map(|backends| &backends.pool);
        pools.map(|pool| pool.slow_servers(now) as u64).sum()
    };
    let short_services = |node: &GatewayNode| {
        let now = Instant::now();
        let live = node.gateway.live();
        let short = live.admissions.values().filter(|admission| admission.is_short(now));
        short.count() as u64
    };
    vec![
        new_gauge(
            node,
            "slow_servers",
            "Servers that stated a slow moment in the last half second",
            slow_servers,
        ),
        new_gauge(
            node,
            "short_services",
            "Services of which requests were refused in the last 2 s because servers are short",
            short_services,
        ),
    ]
}

fn new_gauge(
    node: &Weak<GatewayNode>,
    name: &'static str,
    help: &'static str,
    read: fn(&GatewayNode) -> u64,
) -> Metric {
    let node = Weak::clone(node);
    Metric {
        name,
        help,
        is_counter: false,
        read: Arc::new(move || node.upgrade().map_or(0, |node| read(&node))),
    }
}

/// Returns the metrics of pipelined requests.
fn pipelining_metrics(node: &Weak<GatewayNode>) -> impl Iterator<Item = Metric> {
    type ReadFn = fn(&PipelineLoad) -> u64;
    let specs: [(&'static str, &'static str, bool, ReadFn); 4] = [
        (
            "pipelined_started",
            "Pipelined requests that were started before their turn",
            true,
            PipelineLoad::started,
        ),
        (
            "pipelined_waited",
            "Pipelined requests that waited for their turn because of a bound",
            true,
            PipelineLoad::waited,
        ),
        (
            "pipelined_ahead",
            "Pipelined requests that were started and wait for their turn",
            false,
            |load| load.requests_ahead() as u64,
        ),
        (
            "pipelined_held_bytes",
            "Bytes of pipelined requests that are held",
            false,
            |load| load.held_bytes() as u64,
        ),
    ];
    specs.into_iter().map(|(name, help, is_counter, read)| {
        let node = Weak::clone(node);
        let read = move || node.upgrade().map_or(0, |node| read(node.gateway.pipeline_load()));
        Metric {
            name,
            help,
            is_counter,
            read: Arc::new(read),
        }
    })
}

/// Metrics of placement by measured demand and of look-ups by failure domain.
fn placement_metrics(gauge: impl Fn(&'static str, &'static str, fn(&GatewayNode) -> u64) -> Metric) -> Vec<Metric> {
    vec![
        gauge(
            "spare_capacity_permille",
            "Unused part of the scarcest resource of this VM, as look-ups by failure domain count it",
            |node| (node.capacities.lock().spare() * 1000.0) as u64,
        ),
        Metric {
            is_counter: true,
            ..gauge(
                "placement_steps",
                "Changes of the fractions of objects placed in each failure domain",
                GatewayNode::placement_steps,
            )
        },
        gauge(
            "placement_leader",
            "Whether this VM computes the fractions for its failure domain",
            |node| u64::from(node.demand.lock().is_leader()),
        ),
        gauge(
            "demand_slots_milli",
            "Demand of this VM's callers, in thousandths of a slot",
            |node| {
                let live = node.gateway.live();
                let demand = live.backends.values().map(|backends| backends.demand.mean());
                (demand.sum::<f64>() * 1000.0) as u64
            },
        ),
    ]
}

/// Returns the metrics of objects that changes of the server lists moved; see [`MoveTotals`].
fn move_metrics(node: &Weak<GatewayNode>) -> Vec<Metric> {
    let move_total = |name, help, select: fn(&MoveTotals) -> u64| {
        let node = Weak::clone(node);
        let read = move || {
            node.upgrade().map_or(0, |node| {
                let live = node.gateway.live();
                let totals = live
                    .backends
                    .values()
                    .filter_map(|backends| Some(backends.pool.moves()?.totals()));
                totals.map(|totals| select(&totals)).sum()
            })
        };
        Metric {
            name,
            help,
            is_counter: true,
            read: Arc::new(read),
        }
    };
    vec![
        move_total(
            "object_list_changes",
            "Changes of the server lists that changed shares of objects",
            |totals| totals.changes,
        ),
        move_total(
            "objects_moved_ppm",
            "Objects that such changes moved, in millionths of a service's objects",
            |totals| totals.moved_ppm,
        ),
        move_total(
            "objects_moved_minimum_ppm",
            "Objects that such changes had to move, in millionths",
            |totals| totals.minimum_ppm,
        ),
    ]
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
