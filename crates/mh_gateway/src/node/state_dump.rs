use std::collections::BTreeMap;

use mh_route::objects::assignment::MoveCounts;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::GatewayNode;
use crate::Feed;

/// Returns this VM's view of the deployment and its age, for diagnosing failures.
pub(super) fn state_dump(node: &GatewayNode) -> Value {
    let now = Instant::now();
    let live = node.gateway.live();
    let mut services = Vec::new();
    let mut servers = Vec::new();
    let mut objects = Vec::new();
    for (name, backends) in &live.backends {
        let view = backends.pool.view(now);
        let count = |is: fn(&mh_route::objects::ObjectServerView) -> bool| view.iter().filter(|s| is(s)).count();
        services.push(json!({
            "service": name,
            "servers": view.len(),
            "leaving": count(|server| server.leaving),
            "cold": count(|server| server.cold),
            "closed": count(|server| server.closed),
            "slots": backends.pool.slots(),
            "demand": backends.demand.mean(),
            "first_choices": backends.pool.capacity_by_domain().1,
            "moves": backends.pool.moves().map(MoveCounts::totals),
        }));
        objects.extend(backends.pool.object_views(now).into_iter().map(|object| {
            let servers = object
                .servers
                .iter()
                .map(|choice| format!("{}: {}", choice.server, choice.why));
            json!({"service": name, "object": object.object, "servers": servers.collect::<Vec<_>>().join("; ")})
        }));
        servers.extend(view.iter().map(|server| {
            let mut value = json!(server);
            value["service"] = json!(name);
            value
        }));
    }
    let quotas = live.quotas.iter().map(|(org, limiter)| {
        let left = limiter.meter().level_microtokens(now) as f64 / mh_budget::MICROTOKENS_PER_TOKEN as f64;
        json!({"organisation": org, "left": left})
    });
    let shifts = live.shifts.iter();
    let shifts = shifts.map(|(service, shift)| json!({"service": service, "to": shift.to, "phase": shift.phase}));
    let unreadable = live.plan.as_ref().map(|plan| {
        let routes = plan
            .routes()
            .filter(|route| route.targets.is_empty())
            .map(|route| &route.name);
        json!({"routes": routes.collect::<Vec<_>>(), "unplaced_routes": plan.unreadable.routes,
            "unknown_keys": plan.unreadable.orgs, "keys": plan.unreadable.keys.len()})
    });
    let placement = {
        let demand = node.demand.lock();
        let totals: BTreeMap<_, _> = demand.totals().collect();
        json!({"leader": demand.leader(), "fractions": demand.fractions(), "demand": totals})
    };
    let lookups = {
        let capacities = node.capacities.lock();
        let vms = node.lookup_vms.load();
        let vms = vms
            .iter()
            .map(|vm| json!({"addr": vm.addr, "domain": vm.domain, "size": vm.size, "spare": vm.spare}));
        json!({"size": capacities.size(), "spare": capacities.spare(), "vms": vms.collect::<Vec<_>>()})
    };
    let admissions = live.admissions.iter();
    let admissions = admissions.map(|(service, admission)| json!({"service": service, "state": admission.view(now)}));
    let listed_vms = node.control.lock().deployment.vms().count();
    json!({
        "vm": node.cfg.vm,
        "domain": node.cfg.domain,
        "region": node.cfg.region,
        "ready": node.is_ready(),
        "leaving": node.gateway.is_leaving(),
        "revision": live.plan.as_ref().map(|plan| plan.revision),
        "unreadable": unreadable,
        "reads": node.relay.is_reader(),
        "cut_off": node.gateway.paths().is_cut_off(),
        "usable_vms": live.vms.len(),
        "listed_vms": listed_vms,
        "sharing_vms": node.sharing_vms(),
        "held_bytes": node.gateway.held_bytes(),
        "pipelining": node.gateway.pipeline_load().view(),
        "feeds": Feed::ALL.map(|feed| node.relay.feed_state(feed, now)),
        "placement": placement,
        "lookups": lookups,
        "services": services,
        "shifts": shifts.collect::<Vec<_>>(),
        "quotas": quotas.collect::<Vec<_>>(),
        "admissions": admissions.collect::<Vec<_>>(),
        "limits": node.gateway.limits().with(|limits| limits.view(now)),
        "servers": servers,
        "objects": objects,
        "usage": node.usage_view(),
    })
}
