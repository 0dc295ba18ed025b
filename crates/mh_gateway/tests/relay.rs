//! VMs that learn the store's changes from others of their region.

#[path = "fixtures/mod.rs"]
mod fixtures;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mh_gateway::{
    Feed, GatewayListen, GatewayNode, GatewaySettings, HeaderNames, Interface, LookupQuery, PromiseSettings, Update,
};
use mh_types::VmName;
use store::MemoryStore;

/// VMs of the region.
const VMS: usize = 6;

/// Time after which an expected state that has not come about never will.
const GIVE_UP: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct PlainInterface;

impl Interface for PlainInterface {
    fn lookup_path(&self) -> &'static str {
        "/lookup"
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }

    fn lookup_query(&self, _query: &str) -> LookupQuery {
        LookupQuery { region: None }
    }

    fn lookup_answer(&self, _vms: &[SocketAddr], _lifetime: Duration) -> Bytes {
        Bytes::new()
    }
}

struct Fleet {
    store: MemoryStore,
    vms: Vec<Arc<GatewayNode>>,
}

impl Fleet {
    async fn start() -> Self {
        let store = MemoryStore::new();
        store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
        let mut vms = Vec::new();
        for n in 0..VMS {
            let cfg = settings(n);
            let source = Arc::new(store.source(&cfg.vm));
            let node = GatewayNode::start(cfg, HeaderNames::default(), Arc::new(PlainInterface), source).await;
            let (node, server) = node.expect("loopback ports are free");
            // The port is served until the runtime of the test ends.
            std::mem::forget(server);
            vms.push(node);
        }
        Self { store, vms }
    }

    /// Waits until every VM serves this revision.
    async fn all_serve(&self, revision: u64) {
        eventually(|| {
            self.vms.iter().all(|vm| {
                let live = vm.gateway().live();
                live.ready && live.plan.as_ref().is_some_and(|plan| plan.revision.0 == revision)
            })
        })
        .await;
    }

    /// Waits until at most `count` VMs call the store in two seconds; returns them.
    async fn readers(&self, count: usize) -> Vec<VmName> {
        let end = tokio::time::Instant::now() + GIVE_UP;
        loop {
            self.store.take_calls();
            tokio::time::sleep(Duration::from_secs(2)).await;
            let calls = self.store.take_calls();
            if !calls.is_empty() && calls.len() <= count {
                return calls.into_keys().collect();
            }
            assert!(tokio::time::Instant::now() < end, "{calls:?}");
        }
    }
}

fn settings(n: usize) -> GatewaySettings {
    let port = || -> SocketAddr {
        // The UDP port of the same number is free too, as nothing else of the tests uses UDP.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        listener.local_addr().expect("a bound address")
    };
    let domain = if n.is_multiple_of(2) { "a" } else { "b" };
    GatewaySettings {
        vm: format!("vm-{n}").as_str().into(),
        domain: domain.into(),
        region: "north".into(),
        listen: GatewayListen {
            callers: port(),
            health: port(),
            lookups: port(),
            peers: port(),
        },
        threads: 1,
        memory_mb: 128,
        descriptors: 256,
        regions: ["a", "b"].map(|domain| (domain.into(), "north".into())).into(),
        promises: PromiseSettings::default(),
        log: log::LevelFilter::Off,
    }
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + GIVE_UP;
    while !holds() {
        assert!(
            tokio::time::Instant::now() < end,
            "the expected state did not come about"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a fleet whose calls to the store grow with the number of its VMs: with 85 VMs they took a third of
/// what the day was worth.
#[tokio::test]
async fn two_vms_read_and_the_others_learn_from_them() {
    let fleet = Fleet::start().await;
    fleet.all_serve(1).await;
    let readers = fleet.readers(2).await;
    assert_eq!(readers.len(), 2, "{readers:?}");

    fleet.store.take_calls();
    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
    fleet.all_serve(2).await;

    let calls = fleet.store.take_calls();
    assert!(calls.keys().all(|vm| readers.contains(vm)), "{calls:?}");
}

/// Guards against a region that keeps old settings because the VMs that read for it are refused by the store.
#[tokio::test]
async fn others_read_when_the_readers_are_refused() {
    let fleet = Fleet::start().await;
    fleet.all_serve(1).await;
    for reader in fleet.readers(2).await {
        fleet.store.refuse(&reader);
    }

    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));

    fleet.all_serve(2).await;
}
