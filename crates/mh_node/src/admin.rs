use std::sync::Arc;
use std::sync::atomic::Ordering;

use mh_admin::{AdminApi, AdminError, BoxFuture, ChangeReply, Metric, Metrics, SetRequest};
use mh_config::DocPath;
use mh_types::Code;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::Node;

/// Admin API of a [`Node`].
#[derive(Debug)]
pub(crate) struct NodeAdminApi {
    node: Arc<Node>,
    metrics: Metrics,
}

impl NodeAdminApi {
    pub(crate) fn new(node: Arc<Node>) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let metrics = Metrics::new(build_metrics(&node))?;
        Ok(Self { node, metrics })
    }
}

fn build_metrics(node: &Arc<Node>) -> Vec<Metric> {
    type ReadFn = fn(&Node) -> u64;
    let specs: [(&'static str, &'static str, bool, ReadFn); 10] = [
        ("mangohook_requests", "Requests at the caller port", true, |n| {
            n.edge.counters().requests.load(Ordering::Relaxed)
        }),
        ("mangohook_lookups", "Look-ups at the caller port", true, |n| {
            n.edge.counters().lookups.load(Ordering::Relaxed)
        }),
        ("mangohook_refused", "Requests refused by this VM", true, |n| {
            n.edge.counters().refused.load(Ordering::Relaxed)
        }),
        ("mangohook_running", "Requests running now", false, |n| {
            n.edge.counters().running.load(Ordering::Relaxed)
        }),
        (
            "mangohook_pipelined_started",
            "Pipelined requests that were started before their turn",
            true,
            |n| n.edge.pipeline_load().started(),
        ),
        (
            "mangohook_pipelined_waited",
            "Pipelined requests that waited for their turn because of a bound",
            true,
            |n| n.edge.pipeline_load().waited(),
        ),
        (
            "mangohook_pipelined_ahead",
            "Pipelined requests that were started and wait for their turn",
            false,
            |n| n.edge.pipeline_load().requests_ahead() as u64,
        ),
        (
            "mangohook_pipelined_held_bytes",
            "Bytes of pipelined requests that are held",
            false,
            |n| n.edge.pipeline_load().held_bytes() as u64,
        ),
        (
            "mangohook_settings_revision",
            "Settings revision in force",
            false,
            |n| n.edge.live().snapshot.revision.0,
        ),
        (
            "mangohook_uptime_seconds",
            "Seconds since the process started",
            false,
            |n| n.started.elapsed().as_secs(),
        ),
    ];
    let to_metric = |(name, help, is_counter, read): (&'static str, &'static str, bool, ReadFn)| {
        let node = Arc::clone(node);
        Metric {
            name,
            help,
            is_counter,
            read: Arc::new(move || read(&node)),
        }
    };
    specs.into_iter().map(to_metric).collect()
}

impl AdminApi for NodeAdminApi {
    fn list(&self, prefix: &str) -> Value {
        let local_settings = self.node.local_settings.lock();
        let entries = local_settings
            .settings()
            .list(prefix)
            .map(|(path, entry)| json!({"path": path.as_str(), "revision": entry.revision, "created": entry.created}));
        json!({"revision": local_settings.revision(), "documents": entries.collect::<Vec<_>>()})
    }

    fn get(&self, path: &str) -> Result<Option<Value>, AdminError> {
        let path = DocPath::parse(path)?;
        let local_settings = self.node.local_settings.lock();
        Ok(local_settings.settings().get(&path).map(|entry| {
            json!({
                "path": path.as_str(),
                "revision": entry.revision,
                "created": entry.created,
                "doc": &*entry.doc,
            })
        }))
    }

    fn set(&self, req: SetRequest) -> BoxFuture<'_, Result<ChangeReply, AdminError>> {
        Box::pin(self.node.change(req))
    }

    fn history<'a>(&'a self, path: &'a str, limit: u32) -> BoxFuture<'a, Result<Value, AdminError>> {
        Box::pin(async move {
            let head = self.node.local_settings.lock().revision();
            let rows = self.node.store.history(path, head, limit).await;
            let rows = rows.map_err(|e| AdminError::new(e.current_context().0, e.to_string()))?;
            serde_json::to_value(rows).map_err(|e| AdminError::new(Code::Internal, e.to_string()))
        })
    }

    fn status(&self) -> Value {
        let node = &self.node;
        let now = Instant::now();
        let revision = node.local_settings.lock().revision();
        let others: Vec<Value> = {
            let peers = node.peers.lock();
            let others = peers.others(&node.cfg.vm).map(|vm| {
                let heartbeat = peers.heartbeats.get(&vm.name);
                json!({
                    "vm": vm.name,
                    "domain": vm.domain,
                    "region": vm.region,
                    "listed": vm.state,
                    "revision": heartbeat.map(|h| h.revision),
                    "incarnation": heartbeat.map(|h| h.incarnation),
                    "leaving": heartbeat.map(|h| h.leaving),
                    "heard_ms_ago": heartbeat.map(|h| (now - h.at).as_millis() as u64),
                })
            });
            others.collect()
        };
        json!({
            "vm": node.cfg.vm,
            "domain": node.cfg.domain,
            "region": node.cfg.region,
            "incarnation": node.incarnation,
            "revision": revision,
            "leaving": node.is_leaving(),
            "currency": node.freshness_text(),
            "shifts": node.shifts.view(),
            "peers": others,
        })
    }

    fn dump(&self) -> Value {
        let node = &self.node;
        let live = node.edge.live();
        let snapshot = &live.snapshot;
        let counters = node.edge.counters();
        let routes = snapshot
            .routes
            .iter()
            .map(|route| json!({"name": route.name, "prefix": route.prefix.as_str(), "service": route.service}));
        let backends = live
            .backends
            .iter()
            .map(|(service, backends)| (service.to_string(), json!(backends.view())));
        let operations = node.edge.operations().usage();
        json!({
            "status": self.status(),
            "pipelining": node.edge.pipeline_load().view(),
            "requests": {
                "total": counters.requests.load(Ordering::Relaxed),
                "lookups": counters.lookups.load(Ordering::Relaxed),
                "refused": counters.refused.load(Ordering::Relaxed),
                "running": counters.running.load(Ordering::Relaxed),
            },
            "snapshot": {
                "revision": snapshot.revision,
                "routes": routes.collect::<Vec<_>>(),
                "organisations": snapshot.orgs.keys().collect::<Vec<_>>(),
                "keys": snapshot.keys.values().map(|key| key.id.as_str()).collect::<Vec<_>>(),
                "shifts": snapshot.shifts.iter().map(|shift| &shift.name).collect::<Vec<_>>(),
            },
            "shifts": node.shifts.view(),
            "allowances": node.allowances.view(),
            "lookup": live.vms,
            "backends": backends.collect::<serde_json::Map<_, _>>(),
            "operations": {
                "usage": format!("{operations:?}"),
                "claims_pending": node.claims.pending(),
            },
        })
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}
