//! The platform's metadata store: rows, feeds and conditional writes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Buffer;
use crate::json::{Json, from_base64, to_base64};

/// Longest wait of a feed call, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Addresses of servers as one VM sees them: each VM has links of its own.
pub type Links = Arc<Mutex<BTreeMap<String, String>>>;

/// Time between two looks whether a cut is over.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The network between one VM and the store. While it is cut, nothing is answered, and nothing that was sent arrives.
#[derive(Clone, Default)]
pub struct Path(Arc<AtomicBool>);

impl Path {
    pub fn set_cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits for the end of the cut; returns whether there was one.
    fn wait(&self) -> bool {
        let was_cut = self.is_cut();
        while self.is_cut() {
            std::thread::sleep(CUT_POLL_INTERVAL);
        }
        was_cut
    }
}

#[derive(Default)]
struct State {
    /// Values with their versions; a removed row keeps its version.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Serves the store at a new address, at which servers are listed with the addresses in `links`.
    pub fn serve(&self, links: Links, path: Path) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links, path) = (store.clone(), Arc::clone(&links), path.clone());
                std::thread::spawn(move || store.serve_connection(stream, &links, &path));
            }
        });
        addr
    }

    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.0.lock().expect("no thread panics");
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), (value.map(str::to_owned), version));
        self.state.1.notify_all();
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().expect("no thread panics");
        state.rows.get(&(table.to_owned(), key.to_owned()))?.0.clone()
    }

    fn serve_connection(&self, mut stream: TcpStream, links: &Links, path: &Path) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::default();
        while let Some(mut request) = buffer.read_head(&mut stream) {
            buffer.read_body(&mut stream, &mut request, false);
            if path.wait() {
                return;
            }
            let target = request.target().to_owned();
            let (call, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name, percent_decode(value)))
                .collect();
            let (status, body) = match call {
                "/api/rows-get" => (200, self.get(&query, links)),
                "/api/rows-feed" => self.feed(&query, links),
                "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
                _ => (404, String::new()),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            // An answer that is held up by the cut is lost.
            if path.wait() || stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn get(&self, query: &BTreeMap<&str, String>, links: &Links) -> String {
        let state = self.state.0.lock().expect("no thread panics");
        let (table, from) = (query.get("table"), query.get("from").cloned().unwrap_or_default());
        let rows = state
            .rows
            .iter()
            .filter(|((t, key), (value, _))| Some(t) == table && *key >= from && value.is_some());
        let rows: Vec<String> = rows.map(|(key, row)| row_text(key, row, links)).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now\":\"{}\"}}",
            rows.join(","),
            state.version,
            self.now()
        )
    }

    fn feed(&self, query: &BTreeMap<&str, String>, links: &Links) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (table, after) = (query.get("table"), number("after"));
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(MAX_WAIT_MS));
        let mut state = self.state.0.lock().expect("no thread panics");
        loop {
            if after > state.version {
                return (410, String::new());
            }
            let changed = state
                .rows
                .iter()
                .filter(|((t, _), (_, version))| Some(t) == table && *version > after);
            let mut changed: Vec<_> = changed.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, (_, version))| *version);
                let rows: Vec<String> = changed.iter().map(|(key, row)| row_text(key, row, links)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now\":\"{}\"}}",
                    rows.join(","),
                    state.version,
                    self.now()
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let key_of = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut state = self.state.0.lock().expect("no thread panics");
        for row in body.get("expect_rev").list() {
            let held = state.rows.get(&key_of(row)).filter(|(value, _)| value.is_some());
            if held.map_or(0, |(_, version)| *version) != row.get("ver").number() as u64 {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let is_foreign = |row: &Json| ["op", "servers"].contains(&row.get("table").text());
        if body
            .get("puts")
            .list()
            .iter()
            .chain(body.get("remove").list())
            .any(is_foreign)
        {
            return (403, String::new());
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("puts").list() {
            let value = String::from_utf8_lossy(&from_base64(row.get("value").text())).into_owned();
            state.rows.insert(key_of(row), (Some(value), version));
        }
        for row in body.get("remove").list() {
            state.rows.insert(key_of(row), (None, version));
        }
        self.state.1.notify_all();
        (200, format!("{{\"ver\":{version},\"now\":\"{}\"}}", self.now()))
    }
}

fn row_text((table, key): &(String, String), (value, version): &(Option<String>, u64), links: &Links) -> String {
    let Some(value) = value else {
        return format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"tombstone\":true}}"
        );
    };
    let mut value = value.clone();
    if table == "servers" {
        for (addr, seen) in links.lock().expect("no thread panics").iter() {
            value = value.replace(&format!("\"{addr}\""), &format!("\"{seen}\""));
        }
    }
    let value = to_base64(value.as_bytes());
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}")
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| bytes.get(at + 1..at + 3)).flatten();
        let decoded = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        out.push(decoded.unwrap_or(bytes[at]));
        at += if decoded.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
