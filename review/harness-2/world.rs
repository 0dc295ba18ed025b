//! Gateway processes, the configuration and clients.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::ledger::Ledger;
use crate::store::{Door, Store};

pub const KEY: &str = "key-of-granite-coast";
pub const HOST: &str = "orders.example";
const ZONES: [(&str, &str); 6] = [
    ("me-north", "maine"),
    ("vt-river", "vermont"),
    ("ma-pioneer", "mass"),
    ("nh-lakes", "hampshire"),
    ("ny-hudson", "york"),
    ("ct-valley", "connecticut"),
];

pub fn zone(n: usize) -> &'static str {
    ZONES[n % ZONES.len()].0
}

/// A gateway process on loopback addresses.
pub struct Vm {
    pub callers: SocketAddr,
    pub health: SocketAddr,
    pub door: Door,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Next port to try. It lies below those of outgoing connections, so that none takes it before its process does.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns an address whose port is free for TCP and UDP, and which was not returned before.
fn free_addr() -> SocketAddr {
    let first = 20_000 + (std::process::id() % 40) as u16 * 250;
    loop {
        let addr = SocketAddr::from(([127, 77, 0, 1], first + NEXT_PORT.fetch_add(1, Ordering::SeqCst)));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Vm {
    pub fn new(n: usize, cores: usize, store: &Arc<Store>, folder: &Path) -> Self {
        let door = store.serve();
        let [callers, health, lookups, peers] = [free_addr(), free_addr(), free_addr(), free_addr()];
        let (domain, region) = ZONES[n % ZONES.len()];
        let zones = ZONES
            .map(|(domain, region)| format!("\"{domain}\":\"{region}\""))
            .join(",");
        // What the template of the deploy file gives for a small deployment.
        let text = format!(
            "vm: \"front-{domain}-{n}\"\ndomain: \"{domain}\"\nregion: \"{region}\"\nregions: {{{zones}}}\nlisten:\n  \
             callers: \"{callers}\"\n  health: \"{health}\"\n  lookups: \"{lookups}\"\n  peers: \"{peers}\"\nthreads: {cores}\n\
             descriptors: 4100\nmemory_mb: 260\nfirst_start: true\npromises:\n  shutdown_grace: 6s\n  lookup_lifetime: 5s\n  \
             settle: 3000ms\n  retry_ratio: 0.2\n  retry_slack: 60\n  retry_window: 10s\n  settings_in_force: 2000ms\n  \
             exposure_share: 0.1\nplatform:\n  address: \"{}\"\nplacement: {{\"distribution\":\"region\"}}\nlookups: region\n\
             cpu_share: 0.2\nlink_mbps: 1000.0\n",
            door.addr
        );
        let settings = folder.join(format!("vm-{n}.yaml"));
        std::fs::write(&settings, text).unwrap();
        Self {
            callers,
            health,
            door,
            settings,
            log: folder.join(format!("vm-{n}.log")),
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, program: &Path) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Returns whether the process runs, even if it answers nothing.
    pub fn is_running(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = Conn::open(self.health, Duration::from_millis(200))
            .ok()
            .and_then(|mut conn| {
                conn.write(request.as_bytes()).ok()?;
                conn.read(Instant::now() + Duration::from_millis(500))
            });
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Writes the first configuration: requests for `stock` are idempotent, those for `orders` and `deposits` are not. The
/// service `orders` serves both of the latter.
pub fn configure(store: &Store, version: u64) {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
             \"cold_start\":\"3s\",\"cold_per_s\":4.4}}"
        )
    };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout\":\"1200ms\",\
             \"latency_target\":\"600ms\",\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false,\
             \"sticky\":true,\"home_regions\":[]}}"
        )
    };
    let config = format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"tenants\":[{{\
         \"name\":\"granite\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0,\"home_regions\":[]}}]}}",
        route("stock", "idempotent", "stock"),
        route("orders", "non_idempotent", "orders"),
        route("deposits", "non_idempotent", "orders"),
        service("stock"),
        service("orders")
    );
    store.put("op", "config", &config);
}

/// Starts the processes and waits until all are ready.
pub fn start(vms: &mut [Vm], program: &Path) -> Result<(), String> {
    for vm in vms.iter_mut() {
        vm.start(program).map_err(|e| format!("{}: {e}", program.display()))?;
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !vms.iter().all(Vm::is_ready) {
        if Instant::now() > until {
            return Err("the machines are not ready within 20 s".to_owned());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    // The machines find one another.
    std::thread::sleep(Duration::from_millis(1500));
    Ok(())
}

/// A client with a connection that it keeps.
pub struct Client {
    pub vm: usize,
    addr: SocketAddr,
    conn: Option<Conn>,
    ledger: Arc<Ledger>,
}

impl Client {
    pub fn new(vm: usize, addr: SocketAddr, ledger: &Arc<Ledger>) -> Self {
        Self {
            vm,
            addr,
            conn: None,
            ledger: Arc::clone(ledger),
        }
    }

    /// Sends a request and reads the answer; `body` is sent in one chunk if `is_chunked`.
    pub fn call(&mut self, method: &str, path: &str, body: &str, is_chunked: bool) -> Option<Message> {
        let id = self.ledger.new_id();
        // Requests with the same path concern the same object.
        let object = path
            .bytes()
            .fold(7_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)))
            % 24;
        let framing = match (body.is_empty(), is_chunked) {
            (true, _) => String::from("\r\n"),
            (false, true) => format!(
                "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
            (false, false) => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        };
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: {KEY}\r\nX-Affinity-Key: {object}\r\n");
        if self.conn.is_none() {
            self.conn = Conn::open(self.addr, Duration::from_secs(1)).ok();
        }
        let kind = if is_chunked && !body.is_empty() {
            "in chunks"
        } else {
            "with a length"
        };
        self.ledger.sent(&id, self.vm, &format!("{method} {path} {kind}"));
        let mut conn = self.conn.take()?;
        let answer = conn
            .write(format!("{head}{framing}").as_bytes())
            .ok()
            .and_then(|()| conn.read(Instant::now() + Duration::from_secs(3)));
        let status = answer.as_ref().map_or(0, Message::status);
        let field = |name: &str| {
            answer
                .as_ref()
                .and_then(|answer| answer.header(name))
                .unwrap_or_default()
                .to_owned()
        };
        self.ledger.answered(
            &id,
            status,
            &field("x-server-stamp"),
            !field("server-leaving").is_empty(),
        );
        if let Some(answer) = &answer {
            let own = field("x-request-id");
            if own != id {
                self.ledger.note(&format!(
                    "FOREIGN: {id} got an answer that begins {:?} with id '{own}'",
                    answer.start
                ));
            } else if status == 200 && (!answer.is_whole || answer.body != format!("answer to {id}").as_bytes()) {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                self.ledger.note(&format!("WRONG BODY: {id} got {body:?}"));
            }
            if answer.is_whole && answer.header("connection") != Some("close") {
                self.conn = Some(conn);
            }
        }
        answer
    }
}

/// Sends requests from threads of its own until `stop`.
pub fn load(
    vms: &[Vm],
    ledger: &Arc<Ledger>,
    stop: &Arc<AtomicBool>,
    per_vm: usize,
    pause: Duration,
    requests: &'static [(&'static str, &'static str)],
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for (n, vm) in vms.iter().enumerate() {
        for client in 0..per_vm {
            let mut caller = Client::new(n, vm.callers, ledger);
            let stop = Arc::clone(stop);
            threads.push(std::thread::spawn(move || {
                let mut nth = client;
                std::thread::sleep(pause / per_vm as u32 * client as u32);
                while !stop.load(Ordering::SeqCst) {
                    let (method, path) = requests[nth % requests.len()];
                    nth += 1;
                    let body = if method == "GET" { "" } else { "one order" };
                    caller.call(method, &format!("{path}{nth}"), body, false);
                    std::thread::sleep(pause);
                }
            }));
        }
    }
    threads
}
