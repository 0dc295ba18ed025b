use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use mh_edge::{BoxFuture, ConnectionPath, Dial, Dialed, connect_to_server};
use mh_path::{CheckResult, Reachability, TunnelVm, TunnelVms};
use mh_sync::Mutex;
use mh_types::{Code, Event, RegionName, ServerName, emit};
use rand::seq::IteratorRandom;
use tokio::sync::watch;
use tokio::time::Instant;

use super::counters::{Counters, increment};
use super::tunnel_client::{TunnelError, open_tunnel};
use crate::LiveState;

/// Time after which a connect that is still running starts a check of this VM's links: several round trips between
/// regions.
const SUSPECT_DELAY: Duration = Duration::from_millis(120);

/// Servers that a check contacts. With three, a crash of a seventh of the servers looks like a cut in one of 300 checks.
const SERVERS_PER_CHECK: usize = 3;

/// Longest wait for a server in a check: several round trips between regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that another VM may take to open a tunnel. One that is cut off as well answers within it.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without an answer from any server after which a request that waits for one starts a check.
const SILENCE: Duration = Duration::from_millis(300);

/// The paths on which this VM reaches backend servers: its own links, or other VMs while those are cut.
#[derive(Debug)]
pub struct ServerPaths {
    reachability: Mutex<Reachability>,
    /// Whether this VM is cut off, and the number of checks so far.
    state: watch::Sender<(bool, u64)>,
    tunnel_vms: Mutex<(RegionName, TunnelVms)>,
    live: Arc<ArcSwap<LiveState>>,
    counters: Arc<Counters>,
    created: Instant,
    /// Time of the last answer of any server, in milliseconds since `created`.
    last_answer_ms: AtomicU64,
}

impl ServerPaths {
    pub(crate) fn new(live: Arc<ArcSwap<LiveState>>, counters: Arc<Counters>) -> Self {
        Self {
            reachability: Mutex::default(),
            state: watch::Sender::new((false, 0)),
            tunnel_vms: Mutex::new(("".into(), TunnelVms::default())),
            live,
            counters,
            created: Instant::now(),
            last_answer_ms: AtomicU64::new(0),
        }
    }

    /// Sets the region of this VM and the other VMs that may open tunnels for it. Closes idle tunnels through a VM that
    /// is gone: one that shuts down waits for its tunnels.
    pub(crate) fn set_tunnel_vms(self: &Arc<Self>, own_region: &RegionName, vms: Vec<TunnelVm>) {
        let is_one_gone = {
            let mut held = self.tunnel_vms.lock();
            held.0 = own_region.clone();
            held.1.set_vms(vms)
        };
        if is_one_gone {
            let live = self.live.load();
            live.backends
                .values()
                .for_each(|backends| backends.close_unusable(&self.dialer(&[])));
        }
    }

    /// Returns whether this VM cannot reach any backend server itself.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.state.borrow().0
    }

    /// Returns the dialer of a request that must not leave `regions`; an empty list stands for all.
    pub(crate) fn dialer<'a>(self: &'a Arc<Self>, regions: &'a [RegionName]) -> RequestDial<'a> {
        RequestDial { paths: self, regions }
    }

    /// Records that a server answered.
    pub(super) fn on_answer(&self) {
        let ms = self.created.elapsed().as_millis() as u64;
        self.last_answer_ms.store(ms, Ordering::Relaxed);
    }

    /// Waits until this VM is cut off and no server has answered for [`SILENCE`]: an answer that is still due will not
    /// arrive over a direct connection. Starts checks meanwhile.
    pub(super) async fn silenced(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(SILENCE).await;
            let last_answer_at = self.created + Duration::from_millis(self.last_answer_ms.load(Ordering::Relaxed));
            if last_answer_at.elapsed() < SILENCE {
                continue;
            }
            self.start_check();
            if self.check_ended().await {
                return;
            }
        }
    }

    /// Starts a check of this VM's links unless one has just been made.
    pub(crate) fn start_check(self: &Arc<Self>) {
        if self.reachability.lock().start_check(Instant::now()) {
            tokio::spawn(Arc::clone(self).check());
        }
    }

    async fn check(self: Arc<Self>) {
        let live = self.live.load_full();
        let addrs = live.backends.values().flat_map(|backends| backends.pool.addrs());
        let chosen = addrs.sample(&mut rand::rng(), SERVERS_PER_CHECK);
        let connect = |addr| tokio::time::timeout(CHECK_TIMEOUT, connect_to_server(addr));
        let mut connects: FuturesUnordered<_> = chosen.into_iter().map(connect).collect();
        let mut result = CheckResult::default();
        while let Some(connected) = connects.next().await {
            if matches!(connected, Ok(Ok(_))) {
                result.reached += 1;
                break;
            }
            result.failed += 1;
        }
        // Whoever waits for the check must not see its end before its result.
        let mut reachability = self.reachability.lock();
        let is_changed = reachability.on_check(Instant::now(), result);
        let is_cut_off = reachability.is_cut_off();
        if is_changed {
            emit!(Event::PathChanged, cut_off = is_cut_off, failed = result.failed);
            live.backends
                .values()
                .for_each(|backends| backends.pool.clear_failures());
        }
        self.state
            .send_modify(|(held, checks)| (*held, *checks) = (is_cut_off, *checks + 1));
    }

    /// Waits for the end of the check that is running, if any; returns whether this VM is cut off.
    pub(crate) async fn check_ended(&self) -> bool {
        let mut state = self.state.subscribe();
        let checks_before = state.borrow_and_update().1;
        if self.reachability.lock().is_checking() {
            // The sender lives as long as this value, so the wait does not fail.
            let _ = state.wait_for(|(_, checks)| *checks != checks_before).await;
        }
        self.is_cut_off()
    }

    async fn became_cut_off(&self) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self.state.subscribe().wait_for(|(is_cut_off, _)| *is_cut_off).await;
    }

    async fn dial(
        self: &Arc<Self>,
        server: &ServerName,
        addr: SocketAddr,
        regions: &[RegionName],
    ) -> Result<Dialed, Code> {
        if self.is_cut_off() {
            self.start_check();
            return self.dial_tunnel(server, addr, regions).await;
        }
        let direct = connect_to_server(addr);
        tokio::pin!(direct);
        let connected = tokio::select! {
            connected = &mut direct => connected.ok(),
            () = tokio::time::sleep(SUSPECT_DELAY) => {
                self.start_check();
                tokio::select! {
                    connected = &mut direct => connected.ok(),
                    () = self.became_cut_off() => None,
                }
            }
        };
        if let Some(stream) = connected {
            return Ok(Dialed {
                stream: Box::new(stream),
                path: ConnectionPath::Direct,
            });
        }
        self.start_check();
        if self.check_ended().await {
            self.dial_tunnel(server, addr, regions).await
        } else {
            Err(Code::ConnectFailed)
        }
    }

    async fn dial_tunnel(&self, server: &ServerName, addr: SocketAddr, regions: &[RegionName]) -> Result<Dialed, Code> {
        let chosen = {
            let tunnel_vms = self.tunnel_vms.lock();
            tunnel_vms
                .1
                .choose(Instant::now(), &tunnel_vms.0, regions, rand::random())
        };
        for TunnelVm {
            vm,
            region,
            addr: vm_addr,
        } in chosen
        {
            let opened = tokio::time::timeout(TUNNEL_TIMEOUT, open_tunnel(vm_addr, server, addr)).await;
            let error = match opened {
                Ok(Ok(stream)) => {
                    increment(&self.counters.tunnels);
                    let path = ConnectionPath::Tunnel { vm, region };
                    return Ok(Dialed { stream, path });
                }
                // Another VM would not reach the server either.
                Ok(Err(TunnelError::ServerUnreachable)) => return Err(Code::ConnectFailed),
                Ok(Err(error)) => error,
                Err(_) => TunnelError::Unreachable,
            };
            emit!(
                Event::TunnelFailed,
                vm = vm,
                server = server,
                error = format_args!("{error:?}")
            );
            self.tunnel_vms.lock().1.on_refused(&vm, Instant::now());
        }
        Err(Code::NoPath)
    }
}

/// Dialer of one request.
#[derive(Debug)]
pub(crate) struct RequestDial<'a> {
    paths: &'a Arc<ServerPaths>,
    regions: &'a [RegionName],
}

impl Dial for RequestDial<'_> {
    fn dial<'a>(&'a self, server: &'a ServerName, addr: SocketAddr) -> BoxFuture<'a, Result<Dialed, Code>> {
        Box::pin(self.paths.dial(server, addr, self.regions))
    }

    fn may_reuse(&self, path: &ConnectionPath) -> bool {
        match path {
            ConnectionPath::Direct => !self.paths.is_cut_off(),
            ConnectionPath::Tunnel { vm, region } => {
                let is_allowed = self.regions.is_empty() || self.regions.contains(region);
                is_allowed && self.paths.is_cut_off() && self.paths.tunnel_vms.lock().1.contains(vm)
            }
        }
    }
}

/// Dialer without restrictions.
#[derive(Debug)]
pub(super) struct AnyDial(pub(super) Arc<ServerPaths>);

impl Dial for AnyDial {
    fn dial<'a>(&'a self, server: &'a ServerName, addr: SocketAddr) -> BoxFuture<'a, Result<Dialed, Code>> {
        Box::pin(self.0.dial(server, addr, &[]))
    }

    fn may_reuse(&self, path: &ConnectionPath) -> bool {
        self.0.dialer(&[]).may_reuse(path)
    }
}
