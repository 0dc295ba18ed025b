//! VMs of one region on loopback that share an in-memory store.
#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mh_edge::CallerPort;
use mh_gateway::{
    BoundSettings, Feed, GatewayListen, GatewayNode, GatewaySettings, HeaderNames, Interface, LookupQuery, Update,
};
use mh_types::{Code, VmName};

use crate::fixtures;
use crate::store::MemoryStore;

/// Number of VMs of a region that is too small for starting VMs to load feeds from others.
pub const SMALL_REGION_VMS: usize = 6;

/// Number of VMs of a region in which starting VMs load feeds from others.
pub const LARGE_REGION_VMS: usize = 10;

/// Timeout of waits for an expected state.
const TIMEOUT: Duration = Duration::from_mins(1);

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
        LookupQuery::default()
    }

    fn lookup_answer(&self, _vms: &[SocketAddr], _lifetime: Duration) -> Bytes {
        Bytes::new()
    }
}

pub struct Fleet {
    pub store: MemoryStore,
    pub vms: Vec<Arc<GatewayNode>>,
    /// Addresses of each VM.
    pub listen: Vec<GatewayListen>,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::start_with(SMALL_REGION_VMS).await
    }

    pub async fn start_with(count: usize) -> Self {
        let store = MemoryStore::new();
        store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
        Self::start_on(store, count).await
    }

    /// Starts `count` VMs on a store that already holds settings.
    pub async fn start_on(store: MemoryStore, count: usize) -> Self {
        let mut vms = Vec::new();
        let mut listen = Vec::new();
        for n in 0..count {
            let (node, caller_port, ports) = start_with_ports(&store, n).await;
            // Keeps the port open until the test's runtime ends.
            std::mem::forget(caller_port);
            vms.push(node);
            listen.push(ports);
        }
        Self { store, vms, listen }
    }

    /// Waits until every VM serves `revision`.
    pub async fn wait_for_revision(&self, revision: u64) {
        wait_until(|| {
            self.vms.iter().all(|vm| {
                let live = vm.gateway().live();
                live.ready && live.plan.as_ref().is_some_and(|plan| plan.revision.0 == revision)
            })
        })
        .await;
    }

    /// Returns the revision that each VM serves.
    pub fn revisions(&self) -> Vec<Option<u64>> {
        let revision = |vm: &Arc<GatewayNode>| vm.gateway().live().plan.as_ref().map(|plan| plan.revision.0);
        self.vms.iter().map(revision).collect()
    }

    /// Waits until at most `count` VMs call the store within two seconds; returns them.
    pub async fn wait_for_readers(&self, count: usize) -> Vec<VmName> {
        let end = tokio::time::Instant::now() + TIMEOUT;
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

/// Starts a VM.
pub async fn start_vm(store: &MemoryStore, n: usize) -> (Arc<GatewayNode>, CallerPort) {
    let (node, caller_port, _) = start_with_ports(store, n).await;
    (node, caller_port)
}

async fn start_with_ports(store: &MemoryStore, n: usize) -> (Arc<GatewayNode>, CallerPort, GatewayListen) {
    start_with(store, n, |_| {}).await
}

/// Starts a VM with changed settings and returns its addresses too. Another process may take a free port before it is
/// bound, so several attempts are made.
pub async fn start_with(
    store: &MemoryStore,
    n: usize,
    change: impl Fn(&mut GatewaySettings),
) -> (Arc<GatewayNode>, CallerPort, GatewayListen) {
    for _ in 0..20 {
        let mut cfg = settings(n);
        change(&mut cfg);
        let listen = cfg.listen.clone();
        let source = Arc::new(store.source(&cfg.vm));
        let started = GatewayNode::start(cfg, HeaderNames::default(), Arc::new(PlainInterface), source).await;
        match started {
            Ok((node, caller_port)) => return (node, caller_port, listen),
            Err((Code::BindFailed, _)) => {}
            Err((code, detail)) => panic!("{code} {detail}"),
        }
    }
    panic!("no free loopback ports");
}

pub fn settings(n: usize) -> GatewaySettings {
    let port = || -> SocketAddr {
        // The UDP port with the same number is free too, as no other part of the tests uses UDP.
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
        usage: None,
        first_start: false,
        lookups: mh_gateway::LookupMode::default(),
        cpu_share: None,
        link_mbps: None,
        descriptors: 256,
        pipelining: mh_edge::PipelineBounds::default(),
        regions: ["a", "b"].map(|domain| (domain.into(), "north".into())).into(),
        promises: BoundSettings::default(),
        placement: mh_gateway::PlacementSettings::default(),
        log: log::LevelFilter::Off,
    }
}

pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < end,
            "timed out waiting for the expected state"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
