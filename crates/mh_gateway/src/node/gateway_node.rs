use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use mh_admin::Metrics;
use mh_budget::{Answer, Msg, Outgoing, VmIdentity};
use mh_edge::Server;
use mh_member::{Membership, Outbox, VmList};
use mh_platform::BoxFuture;
use mh_types::{Code, Event, Incarnation, OrgName, RegionName, ServiceName, VmName, emit};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::membership::members;
use super::ports;
use super::supervise::supervise;
use crate::control::{
    Datagram, DeploymentState, QuotaController, Relay, StaleVms, encode, follow_feed, run_membership,
};
use crate::request::Timings;
use crate::{
    AnnouncedVm, Feed, Gateway, GatewaySettings, HeaderNames, Interface, Live, QuotaPeers, ShiftPhase, ShiftRecord,
    Source, Update,
};

/// Time between two tries to write one step of a shift.
const SHIFT_WRITE_GAP: Duration = Duration::from_millis(500);

/// Longest wait for a VM that is asked to take a request from its share: a round trip between regions and some room.
const TAKE_TIMEOUT: Duration = Duration::from_millis(80);

/// Messages of the lending in one datagram; about 100 bytes each, they stay below the usual packet size.
const MSGS_PER_DATAGRAM: usize = 10;

/// Part of the listed VMs that must be alive for the dead ones to stop counting. With fewer this VM is rather cut off
/// itself, and the others go on using their shares.
const QUORUM_PART: f64 = 0.5;

/// Part of the memory that bodies may hold, as a divisor. The rest is for connections' buffers and for what the VM
/// believes.
const HOLD_DIVISOR: usize = 4;

/// One gateway VM's process.
#[derive(Debug)]
pub struct GatewayNode {
    pub(crate) cfg: GatewaySettings,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) interface: Arc<dyn Interface>,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) deployment: Mutex<DeploymentState>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) quotas: Mutex<QuotaController>,
    pub(crate) relay: Relay,
    takes: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    take_number: AtomicU64,
    socket: UdpSocket,
    metrics: OnceLock<Metrics>,
    pub(crate) stale_vms: Mutex<StaleVms>,
    list: Mutex<VmList>,
    shift_writes: Mutex<HashMap<(ServiceName, ShiftPhase), Instant>>,
    sharing: AtomicU32,
    next_change: Mutex<Option<Instant>>,
    epoch: watch::Sender<u64>,
    rebuilds: AtomicU64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The guarded values are replaced in single steps, so a panic of another thread leaves them whole.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Way of requests to the other VMs' shares.
#[derive(Debug)]
struct Peers(Weak<GatewayNode>);

impl QuotaPeers for Peers {
    fn ask<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<Answer>> {
        Box::pin(async move { self.0.upgrade()?.ask_quota(vm, org).await })
    }
}

impl GatewayNode {
    /// Binds the ports and starts the control loops.
    ///
    /// # Errors
    ///
    /// [`Code::BindFailed`] with the address, when a port cannot be bound.
    pub async fn start(
        cfg: GatewaySettings,
        headers: HeaderNames,
        interface: Arc<dyn Interface>,
        source: Arc<dyn Source>,
    ) -> Result<(Arc<Self>, Server), (Code, String)> {
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
        let incarnation = Incarnation(jiff::Timestamp::now().as_microsecond().unsigned_abs());
        let me = VmIdentity {
            vm: cfg.vm.clone(),
            domain: cfg.domain.clone(),
            incarnation,
        };
        let gateway = Gateway::new(cfg.vm.clone(), headers, bounds);
        let hold_bytes = cfg.memory_mb as usize * 1024 * 1024 / HOLD_DIVISOR;
        let node = Arc::new(Self {
            gateway: Arc::new(gateway.with_hold_bytes(hold_bytes)),
            interface,
            source,
            deployment: Mutex::new(DeploymentState::new(cfg.region.clone(), regions, bounds)),
            members: Mutex::new(members(&cfg, &bounds, incarnation)),
            quotas: Mutex::new(QuotaController::new(me, Instant::now())),
            relay: Relay::new(cfg.vm.clone(), bounds.settings_in_force, Instant::now()),
            takes: Mutex::default(),
            take_number: AtomicU64::new(0),
            socket: peers,
            metrics: OnceLock::new(),
            stale_vms: Mutex::default(),
            list: Mutex::default(),
            shift_writes: Mutex::default(),
            sharing: AtomicU32::new(1),
            next_change: Mutex::default(),
            epoch: watch::Sender::new(0),
            rebuilds: AtomicU64::new(0),
            cfg,
        });
        node.gateway.connect(Arc::new(Peers(Arc::downgrade(&node))));
        let metrics = super::metrics::metrics(&node).map_err(|e| (Code::Internal, e.to_string()))?;
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
        let members = Arc::clone(&node);
        supervise("members", move || run_membership(Arc::clone(&members)));
        ports::serve_health(health, Arc::clone(&node));
        ports::serve_changes(changes, Arc::clone(&node));
        ports::serve_lookups(lookups, Arc::clone(&node));
        let server = ports::serve_callers(callers, &node).map_err(bind_failed(listen.callers))?;
        emit!(
            Event::Listening,
            callers = listen.callers,
            lookups = listen.lookups,
            health = listen.health
        );
        Ok((node, server))
    }

    /// What answers the requests of callers.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Takes new promises and regions from the settings file.
    pub fn reload(&self, cfg: &GatewaySettings) {
        let bounds = cfg.promises.bounds();
        emit!(Event::SettingsFileReloaded, vm = self.cfg.vm);
        self.gateway.set_bounds(bounds);
        self.relay.set_limits(bounds.settings_in_force);
        lock(&self.deployment).reload(bounds, cfg.regions.clone());
        self.rebuild(Instant::now());
    }

    /// The metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        self.metrics.get().map(Metrics::render).unwrap_or_default()
    }

    /// Receives one message of another VM.
    pub(crate) async fn receive(&self, buf: &mut [u8]) -> std::io::Result<usize> {
        self.socket.recv_from(buf).await.map(|(len, _)| len)
    }

    /// Sends a datagram to another VM; a lost one is made up for by later ones.
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
    pub(crate) fn send(&self, out: Outbox) {
        for sent in out {
            if let Some(addr) = sent.addr {
                self.send_to(addr, &Datagram::Member(sent.msg));
            }
        }
    }

    /// Sends messages of the lending of quotas, those to one VM together.
    pub(crate) fn send_lending(&self, out: Vec<Outgoing>) {
        let mut by_vm: HashMap<VmName, Vec<Msg>> = HashMap::new();
        for outgoing in out {
            by_vm.entry(outgoing.to).or_default().push(outgoing.msg);
        }
        for (vm, msgs) in by_vm {
            if let Some(addr) = self.peer_addr(&vm) {
                for msgs in msgs.chunks(MSGS_PER_DATAGRAM) {
                    self.send_to(addr, &Datagram::Lend(msgs.to_vec()));
                }
            }
        }
    }

    /// Where a listed VM takes messages.
    pub(crate) fn peer_addr(&self, vm: &VmName) -> Option<SocketAddr> {
        lock(&self.deployment).vm(vm).map(|listed| listed.peers)
    }

    /// Asks another VM to take one request from its share of a quota.
    async fn ask_quota(&self, vm: &VmName, org: &OrgName) -> Option<Answer> {
        let addr = self.peer_addr(vm)?;
        let number = self.take_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.takes).insert(number, tx);
        let org = org.clone();
        self.send_to(addr, &Datagram::Take { number, org });
        let answer = tokio::time::timeout(TAKE_TIMEOUT, rx).await;
        lock(&self.takes).remove(&number);
        answer.ok()?.ok()
    }

    /// Hands the answer to the request that waits for it.
    pub(crate) fn on_taken(&self, number: u64, answer: Answer) {
        if let Some(tx) = lock(&self.takes).remove(&number) {
            // A request that has ended no longer waits.
            let _ = tx.send(answer);
        }
    }

    /// Whether this VM takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.gateway.live().ready && !self.gateway.is_leaving()
    }

    /// This VM as it lists itself.
    pub(crate) fn announced(&self) -> AnnouncedVm {
        AnnouncedVm {
            vm: self.cfg.vm.clone(),
            domain: self.cfg.domain.clone(),
            region: self.cfg.region.clone(),
            callers: self.cfg.listen.callers,
            peers: self.cfg.listen.peers,
        }
    }

    /// Makes the state for requests anew.
    pub(crate) fn rebuild(&self, now: Instant) {
        let mut deployment = lock(&self.deployment);
        deployment.expire(now);
        let previous = self.gateway.live();
        let mut live = deployment.live(&previous, self.sharing_vms(), now);
        if let (Some(plan), Some(read_at)) = (deployment.plan(), deployment.vms_read_at()) {
            let vms: Vec<AnnouncedVm> = deployment.vms().cloned().collect();
            let mut quotas = lock(&self.quotas);
            quotas.sync(plan, &vms, read_at, now);
            live.quotas = quotas.limiters();
        }
        *lock(&self.next_change) = deployment.next_change(now);
        drop(deployment);
        let was_ready = previous.ready;
        let is_ready = live.ready;
        self.gateway.publish(live);
        self.rebuilds.fetch_add(1, Ordering::Relaxed);
        if is_ready && !was_ready {
            emit!(Event::CurrentAgain, vm = self.cfg.vm);
        }
    }

    /// Whether something changed by the passing of time alone.
    pub(crate) fn time_has_come(&self, now: Instant) -> bool {
        lock(&self.next_change).is_some_and(|at| at <= now)
    }

    /// VMs that limits are divided by.
    pub(crate) fn sharing_vms(&self) -> u32 {
        self.sharing.load(Ordering::Relaxed).max(1)
    }

    /// Takes the VMs that callers may use and counts those that share limits.
    pub(crate) fn set_vms(&self, alive: usize, listed: usize, callers: Vec<(RegionName, SocketAddr)>) {
        let sees_most = alive as f64 > listed as f64 * QUORUM_PART;
        let sharing = if sees_most { alive } else { listed };
        let before = self.sharing.swap(sharing as u32, Ordering::Relaxed);
        let live = self.gateway.live();
        if live.vms != callers {
            let next = Live {
                vms: callers,
                ..Live::clone(&live)
            };
            emit!(
                Event::VmStateChanged,
                usable = next.vms.len(),
                listed = listed,
                sharing = sharing
            );
            self.gateway.publish(next);
        }
        if before != sharing as u32 {
            self.rebuild(Instant::now());
        }
    }

    pub(crate) fn list_changed(&self, list: &VmList) -> bool {
        let mut held = lock(&self.list);
        let changed = *held != *list;
        if changed {
            held.clone_from(list);
        }
        changed
    }

    pub(crate) fn is_self_leaving(&self, vm: &VmName) -> bool {
        *vm == self.cfg.vm && self.gateway.is_leaving()
    }

    /// Whether this step of a shift may be written, or written again.
    pub(crate) fn may_write(&self, service: &ServiceName, phase: ShiftPhase, now: Instant) -> bool {
        let mut writes = lock(&self.shift_writes);
        let step = (service.clone(), phase);
        let due = writes.get(&step).is_none_or(|at| now >= *at + SHIFT_WRITE_GAP);
        if due {
            writes.insert(step, now);
        }
        due
    }

    /// Takes a shift's record that this VM wrote.
    pub(crate) fn take_record(&self, service: &ServiceName, record: ShiftRecord) {
        let now = Instant::now();
        {
            let mut deployment = lock(&self.deployment);
            let Some(clock) = deployment.store_clock(now) else {
                return;
            };
            // The feed tells the record again; until then nothing is known of other records up to its version.
            let batch = crate::Batch {
                version: record.version,
                changed: record.version,
                clock,
                updates: vec![Update::Shift(service.clone(), Some(record))],
            };
            deployment.apply(Feed::Shifts, &batch, false, now);
        }
        self.rebuild(now);
    }

    /// The number of times that everything had to be read again.
    pub(crate) fn epoch(&self) -> u64 {
        *self.epoch.borrow()
    }

    /// Has everything read again.
    pub(crate) fn start_epoch(&self) {
        self.relay.reset(Instant::now());
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Waits until everything has to be read again.
    pub(crate) async fn epoch_changed(&self, seen: u64) {
        // The sender lives as long as the node, so the wait does not fail.
        let _ = self.epoch.subscribe().wait_for(|epoch| *epoch != seen).await;
    }
}
