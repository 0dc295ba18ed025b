use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use mh_edge::{CallerPort, Edge};
use mh_once::Owner;
use mh_platform::{HttpPlatform, ObjectStore, Table, VmList};
use mh_sync::{Mutex, OuterMutex};
use mh_types::{Code, Event, Incarnation, emit};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::VmSettings;
use crate::allowances::Allowances;
use crate::claims::Claims;
use crate::crash_reports::NodeCrashPeers;
use crate::edge_links::NodeEdgeLinks;
use crate::freshness::FreshnessState;
use crate::local_settings::LocalSettings;
use crate::peer_handler::NodePeerHandler;
use crate::peers::Peers;
use crate::settings_commit::UnresolvedCommit;
use crate::settings_store::SettingsStore;
use crate::shifts::Shifts;
use mh_peer::{Hello, PROTOCOL, PeerNet};

/// State of one VM's process.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: VmSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) edge: Arc<Edge>,
    pub(crate) store: SettingsStore,
    pub(crate) claims: Arc<Claims>,
    pub(crate) shifts: Shifts,
    pub(crate) allowances: Allowances,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) vm_list: Arc<dyn VmList>,
    pub(crate) local_settings: Mutex<LocalSettings>,
    /// Held while the state for requests is built and published.
    pub(crate) publishing: OuterMutex<()>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) net: OnceLock<PeerNet>,
    pub(crate) freshness: Mutex<FreshnessState>,
    pub(crate) unresolved: Mutex<Vec<UnresolvedCommit>>,
    pub(crate) heartbeat_now: Notify,
    pub(crate) leaving: AtomicBool,
    pub(crate) started: Instant,
}

impl Node {
    /// Binds the ports and starts the control loops.
    ///
    /// # Errors
    ///
    /// [`Code::BindFailed`] with the address if a port cannot be bound, or [`Code::Internal`] if the metrics cannot be
    /// registered.
    pub async fn start(cfg: VmSettings) -> Result<(Arc<Self>, CallerPort), (Code, String)> {
        let bind_failed = |addr| move |e: std::io::Error| (Code::BindFailed, format!("{addr}: {e}"));
        let caller = TcpListener::bind(cfg.listen.caller)
            .await
            .map_err(bind_failed(cfg.listen.caller))?;
        let admin = TcpListener::bind(cfg.listen.admin)
            .await
            .map_err(bind_failed(cfg.listen.admin))?;
        let peer = std::net::TcpListener::bind(cfg.listen.peer).map_err(bind_failed(cfg.listen.peer))?;
        let platform = HttpPlatform::new(
            cfg.platform.table,
            cfg.platform.objects,
            cfg.platform.vms,
            Duration::from_millis(cfg.platform.timeout_ms.value),
            cfg.platform.requests_per_second.value,
        );
        let incarnation = Incarnation(jiff::Timestamp::now().as_microsecond() as u64);
        let started = Instant::now();
        let table: Arc<dyn Table> = platform.table;
        let owner = Owner::new(cfg.vm.clone(), incarnation, started);
        let node = Arc::new(Self {
            incarnation,
            shifts: Shifts::new(&cfg, incarnation, started),
            allowances: Allowances::new(&cfg, incarnation),
            claims: Arc::new(Claims::new(Arc::clone(&table), owner.clone(), started)),
            edge: Arc::new(Edge::new(owner, cfg.edge_cfg())),
            store: SettingsStore { table },
            objects: platform.objects,
            vm_list: platform.vms,
            local_settings: Mutex::default(),
            publishing: OuterMutex::default(),
            peers: Mutex::default(),
            net: OnceLock::new(),
            freshness: Mutex::new(FreshnessState::new(&cfg, incarnation)),
            unresolved: Mutex::default(),
            heartbeat_now: Notify::new(),
            leaving: AtomicBool::new(false),
            started,
            cfg,
        });
        let net = PeerNet::start(peer, Arc::new(NodePeerHandler(Arc::clone(&node))))
            .map_err(bind_failed(node.cfg.listen.peer))?;
        let _ = node.net.set(net);
        emit!(Event::Started, vm = node.cfg.vm, incarnation = node.incarnation);
        node.edge.set_links(Arc::new(NodeEdgeLinks(Arc::clone(&node))));
        let crash_peers = NodeCrashPeers(Arc::downgrade(&node));
        node.edge.poison().set_peers(Arc::new(crash_peers));
        tokio::spawn(Arc::clone(&node.claims).run());
        node.publish();
        let caller_port =
            mh_edge::serve(caller, Arc::clone(&node.edge)).map_err(bind_failed(node.cfg.listen.caller))?;
        let api = crate::admin::NodeAdminApi::new(Arc::clone(&node)).map_err(|e| (Code::Internal, e.to_string()))?;
        mh_admin::serve(admin, Arc::new(api));
        tokio::spawn(crate::freshness_loop::run(Arc::clone(&node)));
        tokio::spawn(crate::roster_loop::run(Arc::clone(&node)));
        tokio::spawn(Allowances::run_slot_loop(Arc::clone(&node)));
        tokio::spawn(crate::lending::run(Arc::clone(&node)));
        tokio::spawn(crate::deferred_loop::run(Arc::clone(&node)));
        tokio::spawn(crate::shifts::run(Arc::clone(&node)));
        tokio::spawn(crate::vm_list_loop::run(Arc::clone(&node)));
        tokio::spawn(crate::heartbeat::run(Arc::clone(&node)));
        emit!(
            Event::Listening,
            caller = caller_port.addr(),
            admin = node.cfg.listen.admin,
            peer = node.cfg.listen.peer
        );
        Ok((node, caller_port))
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            vm: self.cfg.vm.clone(),
            incarnation: self.incarnation,
            domain: self.cfg.domain.clone(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
