//! Stand-in for a backend server.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::ledger::Ledger;
use crate::store::Store;

/// What a server does with a request; the fields are changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    pub work: Duration,
    /// Share of the requests below `failing_path` that are answered with 500, in percent.
    pub failing_percent: u64,
    pub failing_path: &'static str,
    /// Whether all answers say that the server leaves.
    pub says_leaving: bool,
    /// Whether a request whose path contains `deadly` crashes the server.
    pub dies_of_deadly: bool,
    /// Share of the answers whose framing is spoilt, in percent.
    pub spoilt_percent: u64,
}

pub struct Server {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub addr: SocketAddr,
    pub behaviour: Mutex<Behaviour>,
    pub crashes: AtomicU64,
    is_down: AtomicBool,
    requests: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    ledger: Arc<Ledger>,
}

/// Time for which a crashed server is down.
const RESTART_TIME: Duration = Duration::from_millis(2000);

impl Server {
    pub fn start(
        (name, service, zone, version): (&str, &str, &str, &str),
        behaviour: Behaviour,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.78.0.1:0").unwrap();
        let server = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            addr: listener.local_addr().unwrap(),
            behaviour: Mutex::new(behaviour),
            crashes: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            open: Mutex::default(),
            store: Arc::clone(store),
            ledger: Arc::clone(ledger),
        });
        server.register("ready");
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || accepting.accept(listener));
        server
    }

    /// Writes the entry of the server to the store.
    pub fn register(&self, state: &str) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let born = if state == "ready" { born } else { 0 };
        let held = self.store.value("servers", &self.name);
        // A server that goes on running keeps its start.
        let born = match held.and_then(|entry| crate::json::Json::parse(&entry)) {
            Some(entry) if born == 0 => u128::from(entry.number("born")),
            _ => born,
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":5,\"state\":\"{state}\",\
             \"cold_left\":\"0ms\",\"sequence\":1,\"born\":{born}}}",
            self.service, self.addr, self.zone, self.version
        );
        self.store.put("servers", &self.name, &entry);
    }

    /// Ends the server: its connections and its port close.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let held = listener.get_or_insert_with(|| TcpListener::bind(self.addr).unwrap());
            held.set_nonblocking(true).unwrap();
            match held.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.open.lock().unwrap().push(stream.try_clone().unwrap());
                    let server = Arc::clone(self);
                    std::thread::spawn(move || server.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn crash(self: &Arc<Self>) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.ledger.note(&format!("server {} crashes", self.name));
        self.stop();
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(RESTART_TIME);
            server.is_down.store(false, Ordering::SeqCst);
            server.register("ready");
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Some(request) = conn.read(Instant::now() + Duration::from_secs(20)) {
            if self.is_down.load(Ordering::SeqCst) || !request.is_whole {
                return;
            }
            let Some(answer) = self.answer(&request) else { return };
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request; `None` if the server crashes of it.
    fn answer(self: &Arc<Self>, request: &Message) -> Option<String> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let behaviour = self.behaviour.lock().unwrap().clone();
        if request
            .header("x-expect-instance")
            .is_some_and(|name| name != self.name)
        {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Instance-Id: {}\r\n",
                self.name
            );
            return Some(format!("{head}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        }
        if request.target() == "/health" {
            return Some(format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.name
            ));
        }
        self.ledger.ran(&id, &self.name, &self.version);
        if behaviour.dies_of_deadly && request.target().contains("deadly") {
            self.crash();
            return None;
        }
        std::thread::sleep(behaviour.work);
        if self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        let nth = self.requests.fetch_add(1, Ordering::SeqCst);
        let is_failing =
            request.target().starts_with(behaviour.failing_path) && nth * 37 % 100 < behaviour.failing_percent;
        let status = if is_failing {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        let body = format!("answer to {id}");
        let mut head = format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {}.{nth}\r\n",
            self.name
        );
        if behaviour.says_leaving {
            head.push_str("Server-Leaving: 1\r\n");
        }
        if nth * 37 % 100 < behaviour.spoilt_percent {
            self.ledger.note(&format!(
                "server {} spoils the framing of its answer to {id}",
                self.name
            ));
            // The chunks are right; the length belongs to other bytes.
            let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            return Some(format!(
                "{head}Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"
            ));
        }
        Some(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()))
    }
}
