use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mh_standin::Process;
use tokio::time::Instant;

use super::client::{Client, End};
use super::fake_store::FakeStore;
use super::ledger::Ledger;
use super::operator::{CONFIG_KEY, OPERATOR_TABLE, Org, SERVER_TABLE, config, server_entry};
use super::server::Server;
use super::step::{DOMAINS, Step};
use super::vm::Vm;

/// VMs and servers of each service.
const VMS: usize = 4;
const SERVERS: usize = 3;

/// An organisation without a limit, and one with a limit that its callers exceed.
pub const UNLIMITED: &str = "coop";
pub const LIMITED: (&str, f64) = ("small", 20.0);

/// Keys that no configuration withdraws.
const KEPT_KEY: &str = "coop-kept";
const LIMITED_KEY: &str = "small-kept";

/// Time without a fault after which a planned stop must cut no request, from the users' bounds.
const SETTLE: Duration = Duration::from_secs(3);

/// Time after which a state that has not come about never will; bounds a hang, not speed.
const PATIENCE: Duration = Duration::from_mins(1);

/// A system of VM processes, servers and a store, with callers that never stop.
pub struct Fleet {
    pub ledger: Ledger,
    store: FakeStore,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    version: Arc<AtomicU64>,
    /// Since when there was no unplanned fault.
    calm_since: Arc<Mutex<Option<Instant>>>,
    born: u64,
    callers: tokio::task::JoinSet<()>,
    /// Starts of each VM, so that what it promises about order is held against one process.
    starts: Vec<Arc<AtomicU64>>,
    pub folder: tempfile::TempDir,
}

/// The key that only this version of the configuration grants.
fn version_key(version: u64) -> String {
    format!("coop-{version}")
}

impl Fleet {
    pub async fn start() -> Self {
        let store = FakeStore::start().await;
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut vms = Vec::new();
        for n in 0..VMS {
            let name = format!("vm-{n}");
            vms.push(Vm::new(&name, DOMAINS[n % DOMAINS.len()], folder.path(), store.addr()).await);
        }
        let mut fleet = Self {
            ledger: Ledger::default(),
            store,
            vms,
            servers: Vec::new(),
            version: Arc::new(AtomicU64::new(1)),
            calm_since: Arc::default(),
            born: 0,
            callers: tokio::task::JoinSet::new(),
            starts: (0..VMS).map(|_| Arc::default()).collect(),
            folder,
        };
        fleet.configure();
        for n in 0..2 * SERVERS {
            let server = fleet
                .new_server(if n < SERVERS { "stock" } else { "pay" }, DOMAINS[n % DOMAINS.len()])
                .await;
            fleet.servers.push(server);
        }
        for vm in 0..VMS {
            fleet.start_vm(vm);
        }
        fleet.all_serve().await;
        fleet.start_callers();
        fleet
    }

    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    fn configure(&mut self) {
        // Versions rise in uneven steps.
        let version = self.version.load(Ordering::Acquire) + 1 + self.born % 3;
        let keys = vec![KEPT_KEY.to_owned(), version_key(version)];
        let orgs: [Org<'_>; 2] = [
            (UNLIMITED, keys, 0.0),
            (LIMITED.0, vec![LIMITED_KEY.to_owned()], LIMITED.1),
        ];
        self.store.put(OPERATOR_TABLE, CONFIG_KEY, &config(version, &orgs));
        self.version.store(version, Ordering::Release);
    }

    async fn new_server(&mut self, service: &'static str, domain: &'static str) -> Server {
        self.born += 1;
        let name = format!("{service}-{}", self.born);
        let server = Server::start(name, service, domain, self.born, &self.ledger).await;
        self.list(&server, false);
        server
    }

    fn list(&self, server: &Server, is_leaving: bool) {
        let entry = server_entry(server.service, server.addr(), server.domain, is_leaving, server.born);
        self.store.put(SERVER_TABLE, &server.name, &entry);
    }

    fn start_vm(&mut self, vm: usize) {
        self.vms[vm].kill();
        self.vms[vm].start();
        self.starts[vm].store(self.vms[vm].starts, Ordering::Release);
    }

    /// Marks the time as calm from now on, or as disturbed.
    pub fn set_calm(&self, is_calm: bool) {
        *self.calm_since.lock().unwrap_or_else(PoisonError::into_inner) = is_calm.then(Instant::now);
    }

    pub async fn step(&mut self, step: Step) {
        match step {
            Step::Kill(vm) => self.vms[vm].kill(),
            Step::Start(vm) => self.start_vm(vm),
            Step::Pause(vm) => {
                if let Some(process) = &self.vms[vm].process {
                    // It may be ending just now.
                    let _ = process.pause().await;
                }
            }
            Step::Resume(vm) => self.signal(vm, Process::resume),
            Step::Terminate(vm) => self.signal(vm, Process::terminate),
            Step::HangUp(vm) => self.signal(vm, Process::hang_up),
            Step::StoreLink(vm, link) => self.vms[vm].store.set(link),
            Step::StoreOpen(vm, open) => self.vms[vm].store.set_open(open),
            Step::ServerLink(server, link) => self.servers[server].proxy.set(link),
            Step::ServerOpen(server, open) => self.servers[server].proxy.set_open(open),
            Step::Conduct(server, conduct) => self.servers[server].set(conduct),
            Step::Crash(server) => self.servers[server].crash(),
            Step::Leave(server) => self.list(&self.servers[server], true),
            Step::Replace(server) => {
                let (service, domain) = (self.servers[server].service, self.servers[server].domain);
                self.store.remove(SERVER_TABLE, &self.servers[server].name);
                self.servers[server] = self.new_server(service, domain).await;
            }
            Step::Outage(fault) => self.store.set_outage(fault),
            Step::Configure => self.configure(),
            Step::Drain(domain, true) => {
                self.store
                    .put(OPERATOR_TABLE, &format!("evacuate/{}", DOMAINS[domain]), "{}");
            }
            Step::Drain(domain, false) => {
                self.store
                    .remove(OPERATOR_TABLE, &format!("evacuate/{}", DOMAINS[domain]));
            }
        }
    }

    fn signal(&self, vm: usize, send: impl Fn(&Process) -> std::io::Result<()>) {
        if let Some(process) = &self.vms[vm].process {
            send(process).expect("signals can be sent");
        }
    }

    /// Whether a VM that was told to stop has ended.
    pub fn has_ended(&mut self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_mut();
        process.is_none_or(|process| process.ended().is_ok_and(|ended| ended.is_some()))
    }

    /// Waits until a VM that was told to stop has ended.
    pub async fn wait_for_end(&mut self, vm: usize) {
        let end = Instant::now() + PATIENCE;
        while !self.has_ended(vm) {
            if Instant::now() > end {
                self.ledger.violate(format!("VM {vm} does not end after SIGTERM"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every VM serves the newest configuration.
    pub async fn all_serve(&self) {
        for vm in &self.vms {
            let end = Instant::now() + PATIENCE;
            let mut client = Client::new(vm.callers);
            loop {
                let key = version_key(self.version.load(Ordering::Acquire));
                let (_, stock) = client.send(&self.ledger, UNLIMITED, &key, true).await;
                let (_, pay) = client.send(&self.ledger, UNLIMITED, &key, false).await;
                if (stock, pay) == (End::Status(200), End::Status(200)) {
                    break;
                }
                if Instant::now() > end {
                    self.ledger
                        .violate(format!("{} does not serve again: {stock:?}, {pay:?}", vm.callers));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    fn start_callers(&mut self) {
        for (n, vm) in self.vms.iter().enumerate() {
            let addr = vm.callers;
            for is_idempotent in [true, false] {
                let (ledger, calm) = (self.ledger.clone(), Arc::clone(&self.calm_since));
                self.callers
                    .spawn(call(addr, ledger, calm, UNLIMITED, KEPT_KEY, is_idempotent, 10));
            }
            let (ledger, calm) = (self.ledger.clone(), Arc::clone(&self.calm_since));
            self.callers
                .spawn(call(addr, ledger, calm, LIMITED.0, LIMITED_KEY, true, 60));
            let (version, starts) = (Arc::clone(&self.version), Arc::clone(&self.starts[n]));
            self.callers.spawn(probe(addr, self.ledger.clone(), version, starts));
        }
    }
}

/// Sends requests without end and checks what no configuration allows.
async fn call(
    vm: std::net::SocketAddr,
    ledger: Ledger,
    calm_since: Arc<Mutex<Option<Instant>>>,
    org: &'static str,
    key: &'static str,
    is_idempotent: bool,
    pause_ms: u64,
) {
    let calm = || *calm_since.lock().unwrap_or_else(PoisonError::into_inner);
    let mut client = Client::new(vm);
    loop {
        let was_calm = calm().filter(|since| Instant::now() >= *since + SETTLE);
        let (sent, end) = client.send(&ledger, org, key, is_idempotent).await;
        match end {
            End::Status(status @ (400 | 401 | 403 | 404)) => {
                ledger.violate(format!(
                    "{} got {status} although every configuration allows it",
                    sent.id
                ));
            }
            // A close that crossed the request is no cut; the ledger looks whether it reached a server.
            End::Cut if was_calm.is_some() && was_calm == calm() => ledger.cut(&sent),
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Checks that a VM that has shown a configuration handles nothing as an older one allows.
async fn probe(vm: std::net::SocketAddr, ledger: Ledger, version: Arc<AtomicU64>, starts: Arc<AtomicU64>) {
    let mut client = Client::new(vm);
    let mut shown: Option<(u64, u64)> = None;
    loop {
        let (start, newest) = (starts.load(Ordering::Acquire), version.load(Ordering::Acquire));
        let (_, end) = client.send(&ledger, UNLIMITED, &version_key(newest), true).await;
        if end == End::Status(200) && starts.load(Ordering::Acquire) == start {
            if let Some((seen, of_start)) = shown
                && of_start == start
                && seen < newest
            {
                let (sent, end) = client.send(&ledger, UNLIMITED, &version_key(seen), true).await;
                if end == End::Status(200) && starts.load(Ordering::Acquire) == start {
                    let text = format!("{} ran with a key of version {seen} after {newest}", sent.id);
                    ledger.violate(text);
                }
            }
            shown = Some((newest, start));
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}
