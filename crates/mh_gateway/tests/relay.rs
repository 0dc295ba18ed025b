//! VMs that learn the store's changes from others of their region.

#[path = "fixtures/mod.rs"]
mod fixtures;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mh_edge::Server;
use mh_gateway::{
    AnnouncedVm, Feed, GatewayListen, GatewayNode, GatewaySettings, HeaderNames, Interface, LookupQuery,
    PromiseSettings, Update,
};
use mh_types::{Code, VmName};
use store::MemoryStore;

/// VMs of the region.
const VMS: usize = 6;

/// VMs of a region in which those that start learn from others.
const LARGE: usize = 10;

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
        Self::start_with(VMS).await
    }

    async fn start_with(count: usize) -> Self {
        let store = MemoryStore::new();
        store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
        let mut vms = Vec::new();
        for n in 0..count {
            let (node, server) = start_vm(&store, n).await;
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

/// Starts a VM. A port that was found free may be taken by another process before it is bound, so others are tried.
async fn start_vm(store: &MemoryStore, n: usize) -> (Arc<GatewayNode>, Server) {
    for _ in 0..20 {
        let cfg = settings(n);
        let source = Arc::new(store.source(&cfg.vm));
        let started = GatewayNode::start(cfg, HeaderNames::default(), Arc::new(PlainInterface), source).await;
        match started {
            Ok(started) => return started,
            Err((Code::BindFailed, _)) => {}
            Err((code, detail)) => panic!("{code} {detail}"),
        }
    }
    panic!("no free loopback ports");
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
        first_start: false,
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

/// Guards against a fleet each of whose VMs reads everything from the store when it starts.
#[tokio::test]
async fn vms_that_start_learn_from_others() {
    let mut fleet = Fleet::start_with(LARGE).await;
    fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    fleet.all_serve(1).await;
    let readers = fleet.readers(2).await;
    fleet.store.take_calls();

    let (late, server) = start_vm(&fleet.store, LARGE).await;
    std::mem::forget(server);
    let name = late.gateway().vm().clone();
    fleet.vms.push(late);
    fleet.all_serve(1).await;

    let calls = fleet.store.take_calls();
    // The list of VMs, and its own entry.
    assert!(calls[&name] <= 2, "{calls:?}");
    assert!(!readers.contains(&name));
    let live = fleet.vms[LARGE].gateway().live();
    assert_eq!(live.backends[fixtures::SERVICE].pool.slots(), 4);
}

/// Guards against a VM that takes over, when it starts, what was removed before: it must not learn from one that has not
/// heard of the removal.
#[tokio::test]
async fn a_vm_that_starts_learns_nothing_that_was_gone_before() {
    let fleet = Fleet::start_with(LARGE).await;
    fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    fleet.all_serve(1).await;
    for round in 0..3 {
        let name = format!("left-{round}");
        fleet.store.put(Feed::Servers, fixtures::listed(&name, "v1"));
        fleet.store.put(Feed::Servers, fixtures::removed(&name));
        fleet
            .store
            .put(Feed::Settings, Update::Plan(fixtures::plan(round + 2).into()));

        let (late, server) = start_vm(&fleet.store, LARGE + round as usize).await;
        std::mem::forget(server);
        eventually(|| late.gateway().live().ready).await;

        let live = late.gateway().live();
        assert_eq!(live.plan.as_ref().unwrap().revision.0, round + 2);
        let view = live.backends[fixtures::SERVICE].pool.view(tokio::time::Instant::now());
        assert!(view.iter().all(|server| server.name.as_str() != name), "{view:?}");
    }
}

/// Guards against a VM that does not serve because the others of its region are listed and gone, as after a loss of all.
#[tokio::test]
async fn a_vm_that_starts_among_dead_ones_reads_the_store() {
    let store = MemoryStore::new();
    store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
    store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    for n in 1..LARGE {
        let cfg = settings(n);
        let vm = AnnouncedVm {
            vm: cfg.vm.clone(),
            domain: cfg.domain,
            region: cfg.region,
            callers: cfg.listen.callers,
            peers: cfg.listen.peers,
        };
        store.put(Feed::Vms, Update::Vm(cfg.vm, Some(vm)));
    }

    let (node, server) = start_vm(&store, 0).await;
    std::mem::forget(server);

    eventually(|| node.gateway().live().ready).await;
    assert_eq!(node.gateway().live().backends[fixtures::SERVICE].pool.slots(), 4);
}
