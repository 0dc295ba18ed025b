//! Stand-in for the platform's metadata store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::{from_base64, to_base64, Json};

/// What the store does with the calls of one machine.
pub const SERVE: u8 = 0;
/// Answers 503: nothing was done.
pub const BUSY: u8 = 1;
#[derive(Clone)]
struct Row {
    /// `None` for a removed row.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; each machine calls it at an address of its own.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

/// Address of the store for one machine.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Door {
    pub fn set(&self, store: &Store, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
        store.changed.notify_all();
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let tables = self.tables.lock().unwrap();
        let row = tables.rows.get(&(table.to_owned(), key.to_owned()))?;
        row.value
            .as_ref()
            .map(|value| String::from_utf8_lossy(value).into_owned())
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        tables
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { value, version });
        drop(tables);
        self.changed.notify_all();
    }

    /// Serves the calls of one machine.
    pub fn serve(self: &Arc<Self>) -> Door {
        let listener = TcpListener::bind("127.79.0.1:0").unwrap();
        let door = Door {
            addr: listener.local_addr().unwrap(),
            mode: Arc::default(),
        };
        let (store, mode) = (Arc::clone(self), Arc::clone(&door.mode));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (Arc::clone(&store), Arc::clone(&mode));
                std::thread::spawn(move || store.serve_connection(stream, &mode));
            }
        });
        door
    }

    fn serve_connection(&self, stream: TcpStream, mode: &AtomicU8) {
        let mut conn = Conn::new(stream);
        while let Some(call) = conn.read(Instant::now() + Duration::from_secs(120)) {
            std::thread::sleep(Duration::from_millis(4));
            let answer = self.answer(&call, mode);
            let (status, body) = match mode.load(Ordering::SeqCst) {
                SERVE => answer,
                _ => (503, String::from("{}")),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.write(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, mode: &AtomicU8) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(held, _)| *held == name)
                .map(|(_, value)| decode(value))
                .next()
                .unwrap_or_default()
        };
        match path {
            _ if mode.load(Ordering::SeqCst) != SERVE => (503, String::from("{}")),
            "/api/rows-get" => {
                let tables = self.tables.lock().unwrap();
                let table = field("table");
                let from = field("from");
                let to = field("to");
                let rows = tables.rows.iter().filter(|((held, key), row)| {
                    *held == table && *key >= from && (to.is_empty() || *key < to) && row.value.is_some()
                });
                let rows: Vec<String> = rows.map(|((table, key), row)| row_text(table, key, row)).collect();
                (200, self.rows_text(&rows, tables.version))
            }
            "/api/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                let table = field("table");
                let until = Instant::now() + wait;
                let mut tables = self.tables.lock().unwrap();
                loop {
                    let rows = tables
                        .rows
                        .iter()
                        .filter(|((held, _), row)| *held == table && row.version > after);
                    let mut rows: Vec<_> = rows.collect();
                    rows.sort_by_key(|(_, row)| row.version);
                    let rows: Vec<String> = rows
                        .into_iter()
                        .map(|((table, key), row)| row_text(table, key, row))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() || mode.load(Ordering::SeqCst) != SERVE {
                        return (200, self.rows_text(&rows, tables.version));
                    }
                    tables = self.changed.wait_timeout(tables, left).unwrap().0;
                }
            }
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
            _ => (404, String::from("{}")),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, String::from("{}"));
        };
        let key = |row: &Json| (row.text("table"), row.text("key"));
        let mut tables = self.tables.lock().unwrap();
        let held = |tables: &Tables, row: &Json| {
            let row = tables.rows.get(&key(row)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = call.list("expect_rev");
        if expected.iter().any(|row| held(&tables, row) != row.number("ver")) {
            return (412, self.rows_text(&[], tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for row in call.list("puts") {
            let value = Some(from_base64(&row.text("value")));
            tables.rows.insert(key(row), Row { value, version });
        }
        for row in call.list("remove") {
            tables.rows.insert(key(row), Row { value: None, version });
        }
        drop(tables);
        self.changed.notify_all();
        (
            200,
            format!(
                "{{\"ver\":{version},\"now\":\"{}ms\"}}",
                self.started.elapsed().as_millis()
            ),
        )
    }

    fn rows_text(&self, rows: &[String], version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"ver\":{version},\"now\":\"{now}ms\"}}")
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let name = format!("\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\"");
    let version = row.version;
    match &row.value {
        Some(value) => format!("{{{name},\"value\":\"{}\",\"ver\":{version}}}", to_base64(value)),
        None => format!("{{{name},\"tombstone\":true,\"ver\":{version}}}"),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
