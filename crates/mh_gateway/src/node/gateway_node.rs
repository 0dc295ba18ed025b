use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use mh_admin::Metrics;
use mh_budget::{Answer, Msg, Outgoing, VmIdentity};
use mh_edge::CallerPort;
use mh_limit::Reply;
use mh_lookup::zonal::ZonalVm;
use mh_member::Outbox;
use mh_route::objects::DemandDistribution;
use mh_sync::Mutex;
use mh_types::{Code, Event, Incarnation, RegionName, ServiceName, VersionName, VmName, emit};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::Instant;

use super::membership::new_membership;
use super::node_peers::{NodeCrashPeers, NodeLimitPeers, NodeQuotaPeers};
use super::pending_replies::PendingReplies;
use super::ports;
use super::supervise::supervise;
use super::unlisted_vm::UnlistedVm;
use crate::control::{
    Capacities, ControlState, Datagram, DeploymentState, LoadClocks, QuotaController, Relay, UsageDuty, encode,
    follow_feed, run_membership, run_usage,
};
use crate::request::Timings;
use crate::{
    AnnouncedVm, Feed, Gateway, GatewaySettings, HeaderNames, Interface, LiveState, ShiftPhase, ShiftRecord, Source,
    Update, UsageReporter, UsageSettings,
};

/// Minimum time between two attempts to write one phase of a shift.
const SHIFT_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks of stored quarantines.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(10);

/// Lending messages per datagram. A message takes about 100 bytes, so that the datagram stays below the usual MTU.
const LENDING_MSGS_PER_DATAGRAM: usize = 10;

/// Fraction of the listed VMs that must be alive before dead VMs are excluded when limits are divided. With fewer,
/// this VM is more likely partitioned itself, and the other VMs still use their shares.
const QUORUM_FRACTION: f64 = 0.5;

/// Divisor of the memory limit that gives the memory for buffered bodies. The rest is for connection buffers and for
/// the VM's own state.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Process of one gateway VM: ports, control loops and state.
#[derive(Debug)]
pub struct GatewayNode {
    pub(crate) cfg: GatewaySettings,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) interface: Arc<dyn Interface>,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) control: Arc<Mutex<ControlState>>,
    pub(crate) relay: Relay,
    pub(crate) pending_token_requests: PendingReplies<Answer>,
    pub(crate) pending_limit_asks: PendingReplies<Reply>,
    socket: UdpSocket,
    metrics: OnceLock<Metrics>,
    pub(crate) demand: Mutex<DemandDistribution>,
    pub(crate) capacities: Mutex<Capacities>,
    /// VMs that look-ups by failure domain return.
    pub(crate) lookup_vms: ArcSwap<Vec<ZonalVm>>,
    shift_writes: Mutex<HashMap<(ServiceName, ShiftPhase), Instant>>,
    sharing_vms: AtomicU32,
    next_clean_up: Mutex<Option<Instant>>,
    epoch: watch::Sender<u64>,
    rebuilds: AtomicU64,
    placement_steps: AtomicU64,
    /// The duty of reporting usage; empty if no reports are made.
    pub(crate) usage: OnceLock<UsageDuty>,
    incarnation: Incarnation,
    /// Tunnels to backend servers that are open for other VMs.
    pub(super) open_tunnels: AtomicUsize,
    pub(crate) load_clocks: Mutex<LoadClocks>,
}

impl GatewayNode {
    /// Binds the ports and starts the control loops.
    ///
    /// # Errors
    ///
    /// [`Code::BindFailed`] with the address if a port cannot be bound.
    pub async fn start(
        cfg: GatewaySettings,
        headers: HeaderNames,
        interface: Arc<dyn Interface>,
        source: Arc<dyn Source>,
    ) -> Result<(Arc<Self>, CallerPort), (Code, String)> {
        let bind_failed = |addr: SocketAddr| move |e: std::io::Error| (Code::BindFailed, format!("{addr}: {e}"));
        let listen = cfg.listen.clone();
        let bounds = cfg.promises.bounds();
        let regions = cfg.regions.clone();
        let callers = TcpListener::bind(listen.callers)
            .await
            .map_err(bind_failed(listen.callers))?;
        let health = TcpListener::bind(listen.health)
            .await
            .map_err(bind_failed(listen.health))?;
        let lookups = TcpListener::bind(listen.lookups)
            .await
            .map_err(bind_failed(listen.lookups))?;
        let peers = UdpSocket::bind(listen.peers).await.map_err(bind_failed(listen.peers))?;
        let changes = TcpListener::bind(listen.peers)
            .await
            .map_err(bind_failed(listen.peers))?;
        let demand = DemandDistribution::new(cfg.vm.clone(), cfg.domain.clone(), regions.clone(), Instant::now());
        let incarnation = Incarnation(jiff::Timestamp::now().as_microsecond().unsigned_abs());
        let identity = VmIdentity {
            vm: cfg.vm.clone(),
            domain: cfg.domain.clone(),
            incarnation,
        };
        let gateway = Gateway::new(cfg.vm.clone(), headers, bounds).with_pipeline_bounds(cfg.pipelining);
        let buffer_bytes = cfg.memory_mb as usize * 1024 * 1024 / BUFFER_MEMORY_DIVISOR;
        let deployment = DeploymentState::new(cfg.region.clone(), regions, bounds).with_placement(cfg.placement);
        let membership = new_membership(&cfg, &bounds, incarnation);
        let quotas = QuotaController::new(identity, Instant::now());
        let control = Arc::new(Mutex::new(ControlState::new(deployment, membership, quotas)));
        let node = Arc::new(Self {
            gateway: Arc::new(gateway.with_buffer_limit(buffer_bytes)),
            interface,
            source,
            relay: Relay::new(
                cfg.vm.clone(),
                bounds.settings_in_force,
                Arc::clone(&control),
                Instant::now(),
            ),
            control,
            pending_token_requests: PendingReplies::default(),
            pending_limit_asks: PendingReplies::default(),
            socket: peers,
            metrics: OnceLock::new(),
            demand: Mutex::new(demand),
            capacities: Mutex::new(Capacities::new(&cfg)),
            lookup_vms: ArcSwap::default(),
            shift_writes: Mutex::default(),
            sharing_vms: AtomicU32::new(1),
            next_clean_up: Mutex::default(),
            epoch: watch::Sender::new(0),
            rebuilds: AtomicU64::new(0),
            placement_steps: AtomicU64::new(0),
            usage: OnceLock::new(),
            incarnation,
            open_tunnels: AtomicUsize::new(0),
            load_clocks: Mutex::new(LoadClocks::new(incarnation, Instant::now())),
            cfg,
        });
        node.gateway
            .set_quota_peers(Arc::new(NodeQuotaPeers(Arc::downgrade(&node))));
        let limit_peers = NodeLimitPeers(Arc::downgrade(&node));
        node.gateway.limits().set_peers(Arc::new(limit_peers));
        let crash_peers = NodeCrashPeers(Arc::downgrade(&node));
        node.gateway.poison().set_peers(Arc::new(crash_peers));
        let metrics = super::metrics::new_metrics(&node).map_err(|e| (Code::Internal, e.to_string()))?;
        node.gateway.counters().set_timings(Timings::new(&metrics));
        let _ = node.metrics.set(metrics);
        emit!(
            Event::Started,
            vm = node.cfg.vm,
            domain = node.cfg.domain,
            region = node.cfg.region
        );
        for feed in Feed::ALL {
            let node = Arc::clone(&node);
            supervise("feed", move || follow_feed(Arc::clone(&node), feed));
        }
        let membership_node = Arc::clone(&node);
        supervise("members", move || run_membership(Arc::clone(&membership_node)));
        ports::serve_health(health, Arc::clone(&node));
        ports::serve_peers(changes, Arc::clone(&node));
        ports::serve_lookups(lookups, Arc::clone(&node));
        let caller_port = ports::serve_callers(callers, &node).map_err(bind_failed(listen.callers))?;
        emit!(
            Event::Listening,
            callers = listen.callers,
            lookups = listen.lookups,
            health = listen.health
        );
        Ok((node, caller_port))
    }

    /// Returns the request handler.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Begins to count requests and to take part in the usage reports, if the settings ask for them.
    pub fn report_usage(self: &Arc<Self>, reporter: Arc<dyn UsageReporter>) {
        let Some(params) = self.cfg.usage.as_ref().and_then(UsageSettings::params) else {
            return;
        };
        self.gateway.usage().enable(self.incarnation, params);
        if self
            .usage
            .set(UsageDuty::new(self.cfg.vm.clone(), params, reporter))
            .is_err()
        {
            return;
        }
        let node = Arc::clone(self);
        supervise("usage", move || run_usage(Arc::clone(&node)));
    }

    /// Applies changed bounds and regions of the settings file.
    pub fn reload(&self, cfg: &GatewaySettings) {
        let bounds = cfg.promises.bounds();
        emit!(Event::SettingsFileReloaded, vm = self.cfg.vm);
        self.gateway.set_bounds(bounds);
        self.relay.set_propagation_deadline(bounds.settings_in_force);
        self.demand.lock().set_regions(cfg.regions.clone());
        self.control.lock().deployment.reload(bounds, cfg.regions.clone());
        self.rebuild(Instant::now());
    }

    /// Renders the metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        self.metrics.get().map(Metrics::render).unwrap_or_default()
    }

    /// Receives one datagram of another VM into `buf`; returns its length and the sender's address.
    pub(crate) async fn receive(&self, buf: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buf).await
    }

    /// Sends a datagram to another VM. A lost datagram is compensated by later ones.
    pub(crate) fn send_to(&self, addr: SocketAddr, datagram: &Datagram) {
        if let Ok(bytes) = encode(self.gateway.vm(), datagram) {
            self.send_bytes(addr, &bytes);
        }
    }

    /// Sends an encoded datagram.
    pub(crate) fn send_bytes(&self, addr: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.try_send_to(bytes, addr);
    }

    /// Sends messages of the membership protocol.
    pub(crate) fn send_membership(&self, outgoing_messages: Outbox) {
        for sent in outgoing_messages {
            if let Some(addr) = sent.addr {
                self.send_to(addr, &Datagram::Member(sent.msg));
            }
        }
    }

    /// Sends messages of the quota lending protocol, batched by VM.
    pub(crate) fn send_lending(&self, outgoing_messages: Vec<Outgoing>) {
        let mut by_vm: HashMap<VmName, Vec<Msg>> = HashMap::new();
        for outgoing in outgoing_messages {
            by_vm.entry(outgoing.to).or_default().push(outgoing.msg);
        }
        for (vm, messages) in by_vm {
            if let Some(addr) = self.peer_addr(&vm) {
                for messages in messages.chunks(LENDING_MSGS_PER_DATAGRAM) {
                    self.send_to(addr, &Datagram::Lend(messages.to_vec()));
                }
            }
        }
    }

    /// Returns the peer address of a VM that is listed or known to be up.
    pub(crate) fn peer_addr(&self, vm: &VmName) -> Option<SocketAddr> {
        self.control.lock().peer_addr(vm)
    }

    /// Returns the peer addresses of those VMs that are listed.
    pub(crate) fn listed_addrs<'a>(&self, vms: impl IntoIterator<Item = &'a VmName>) -> Vec<SocketAddr> {
        let control = self.control.lock();
        let listed = vms.into_iter().filter_map(|vm| control.deployment.vm(vm));
        listed.map(|vm| vm.peers).collect()
    }

    /// Sets the VMs that are up and missing in this VM's list; they share quotas.
    pub(crate) fn set_unlisted_vms(&self, vms: Vec<UnlistedVm>) {
        let changed = {
            let mut control = self.control.lock();
            let changed = control.unlisted_vms != vms;
            control.unlisted_vms = vms;
            changed
        };
        if changed {
            self.rebuild(Instant::now());
        }
    }

    /// Returns whether this VM accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.gateway.live().ready && !self.gateway.is_leaving()
    }

    /// Returns the entry under which this VM lists itself.
    pub(crate) fn announced(&self) -> AnnouncedVm {
        AnnouncedVm {
            vm: self.cfg.vm.clone(),
            domain: self.cfg.domain.clone(),
            region: self.cfg.region.clone(),
            callers: self.cfg.listen.callers,
            peers: self.cfg.listen.peers,
        }
    }

    /// Rebuilds and publishes the state that requests are served from.
    pub(crate) fn rebuild(&self, now: Instant) {
        let (was_ready, is_ready) = {
            let mut control = self.control.lock();
            let previous = self.gateway.live();
            let live = control.build_live_state(&previous, self.sharing_vms(), now);
            let is_ready = live.ready;
            // Published under the lock, so that no thread replaces it by a state built from older feeds.
            self.gateway.publish(live);
            (previous.ready, is_ready)
        };
        self.rebuilds.fetch_add(1, Ordering::Relaxed);
        if is_ready && !was_ready {
            emit!(Event::CurrentAgain, vm = self.cfg.vm);
        }
    }

    /// Counts a change of the fractions of first choices.
    pub(crate) fn count_placement_step(&self) {
        self.placement_steps.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of changes of the fractions of first choices.
    pub(crate) fn placement_steps(&self) -> u64 {
        self.placement_steps.load(Ordering::Relaxed)
    }

    /// Returns whether a time-triggered change of the state is due.
    pub(crate) fn is_change_due(&self, now: Instant) -> bool {
        self.control.lock().next_timed_change.is_some_and(|at| at <= now)
    }

    /// Returns whether stored quarantines should be checked now; at most once in [`CLEAN_UP_INTERVAL`].
    pub(crate) fn is_clean_up_due(&self, now: Instant) -> bool {
        let mut next = self.next_clean_up.lock();
        let is_due = next.is_some_and(|at| at <= now);
        if is_due || next.is_none() {
            *next = Some(now + CLEAN_UP_INTERVAL);
        }
        is_due
    }

    /// Returns the number of VMs that limits are divided by, at least 1.
    pub(crate) fn sharing_vms(&self) -> u32 {
        self.sharing_vms.load(Ordering::Relaxed).max(1)
    }

    /// Sets the VMs that look-ups return and the number of VMs that share limits.
    pub(crate) fn set_vms(&self, alive: usize, listed: usize, callers: Vec<(RegionName, SocketAddr)>) {
        let sees_quorum = alive as f64 > listed as f64 * QUORUM_FRACTION;
        let sharing = if sees_quorum { alive } else { listed };
        let before = self.sharing_vms.swap(sharing as u32, Ordering::Relaxed);
        let usable = callers.len();
        if self.publish_vms(callers) {
            emit!(
                Event::VmStateChanged,
                usable = usable,
                listed = listed,
                sharing = sharing
            );
        }
        if before != sharing as u32 {
            self.rebuild(Instant::now());
        }
    }

    /// Publishes the VMs that look-ups return; returns whether they changed.
    fn publish_vms(&self, callers: Vec<(RegionName, SocketAddr)>) -> bool {
        // The lock keeps other threads from publishing between the read and the replacement.
        let _control = self.control.lock();
        let live = self.gateway.live();
        let changed = live.vms != callers;
        if changed {
            self.gateway.publish(LiveState {
                vms: callers,
                ..LiveState::clone(&live)
            });
        }
        changed
    }

    /// Returns whether a phase of a shift may be written now. A phase is written again only after
    /// [`SHIFT_WRITE_INTERVAL`].
    pub(crate) fn claim_shift_write(&self, service: &ServiceName, phase: ShiftPhase, now: Instant) -> bool {
        let mut writes = self.shift_writes.lock();
        let step = (service.clone(), phase);
        let is_due = writes.get(&step).is_none_or(|at| now >= *at + SHIFT_WRITE_INTERVAL);
        if is_due {
            writes.insert(step, now);
        }
        is_due
    }

    /// Applies a shift record that this VM has written, with the retired versions that it names.
    pub(crate) fn apply_own_record(&self, service: &ServiceName, record: ShiftRecord, retired: Vec<VersionName>) {
        let now = Instant::now();
        {
            let deployment = &mut self.control.lock().deployment;
            let Some(clock) = deployment.store_clock(now) else {
                return;
            };
            // The feed delivers the record again; until then other records up to its version may be missing.
            let batch = crate::Batch {
                version: record.version,
                last_changed_version: record.version,
                clock,
                updates: vec![
                    Update::Shift(service.clone(), Some(record)),
                    Update::RetiredVersions(service.clone(), retired),
                ],
            };
            deployment.apply(Feed::Shifts, &batch, false, now);
        }
        self.rebuild(now);
    }

    /// Returns how often all feeds have been read again from the start.
    pub(crate) fn epoch(&self) -> u64 {
        *self.epoch.borrow()
    }

    /// Makes all feeds read again from the start.
    pub(crate) fn start_epoch(&self) {
        self.relay.reset(Instant::now());
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Waits until all feeds have to be read again from the start.
    pub(crate) async fn epoch_changed(&self, seen: u64) {
        // The sender lives as long as the node, so that the wait cannot fail.
        let _ = self.epoch.subscribe().wait_for(|epoch| *epoch != seen).await;
    }
}
