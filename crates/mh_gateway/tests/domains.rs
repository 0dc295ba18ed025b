//! Exchange of demand and spare capacity between VMs on loopback.

#[path = "fixtures/mod.rs"]
mod fixtures;
#[path = "fleet/mod.rs"]
mod fleet;
mod store;

use std::net::SocketAddr;

use fleet::{Fleet, settings, start_with};
use mh_gateway::{Feed, LookupMode, PlacementMode, Update};
use serde_json::Value;
use store::MemoryStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, sleep};

async fn state(health: SocketAddr) -> Value {
    let mut stream = TcpStream::connect(health).await.expect("the health port");
    let request = b"GET /state HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("the request is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the state");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    serde_json::from_str(body).expect("JSON")
}

/// Waits until the state of a VM satisfies `is`.
async fn wait_for_state(health: SocketAddr, is: impl Fn(&Value) -> bool) {
    let end = Instant::now() + Duration::from_mins(1);
    loop {
        let state = state(health).await;
        if is(&state) {
            return;
        }
        assert!(Instant::now() < end, "{}\n{}", state["placement"], state["lookups"]);
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against messages about demand or spare capacity that are never sent, not understood or not used: four VMs in
/// two domains, of which one is five times as large.
#[tokio::test]
async fn vms_learn_demand_fractions_and_sizes() {
    let store = MemoryStore::new();
    store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
    store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    let mut fleet = Fleet {
        store: store.clone(),
        vms: Vec::new(),
        listen: Vec::new(),
    };
    for n in 0..4 {
        let (node, caller_port, listen) = start_with(&store, n, |cfg| {
            cfg.placement.distribution = PlacementMode::MeasuredDemand;
            cfg.lookups = LookupMode::Domain;
            cfg.cpu_share = Some(if n == 1 { 5.0 } else { 1.0 });
        })
        .await;
        // Keeps the port open until the test's runtime ends.
        std::mem::forget(caller_port);
        fleet.vms.push(node);
        fleet.listen.push(listen);
    }
    fleet.wait_for_revision(1).await;

    let large = fleet.listen[1].callers.to_string();
    // VM 2 is in the domain of VM 0, VM 1 in the other one.
    wait_for_state(fleet.listen[2].health, |state| {
        let placement = &state["placement"];
        let vms = state["lookups"]["vms"].as_array().cloned().unwrap_or_default();
        placement["leader"] == "vm-0"
            && placement["fractions"][fixtures::SERVICE].is_object()
            && vms.len() == 4
            && vms.iter().any(|vm| vm["addr"] == large.as_str() && vm["size"] == 5.0)
    })
    .await;
    wait_for_state(fleet.listen[0].health, |state| {
        let demand = state["placement"]["demand"].as_object();
        demand.is_some_and(|demand| demand.len() == 2)
    })
    .await;
    assert_eq!(settings(0).placement.distribution, PlacementMode::Region);
}
