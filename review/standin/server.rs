//! A backend server as the users' pages describe it; what it does with a request is up to the case.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Buffer, Message};

/// What becomes of the connection after a request.
pub enum After {
    Keep,
    Close,
}

/// Runs one request on its connection and answers it. The body has not been read yet.
pub type Run = Arc<dyn Fn(&str, &mut Message, &mut TcpStream, &mut Buffer) -> After + Send + Sync>;

pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    has_exited: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Time between two looks for a new connection.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Server {
    pub fn start(name: &str, service: &str, zone: &str, run: Run) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let has_exited = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (id, exited, open) = (name.to_owned(), Arc::clone(&has_exited), Arc::clone(&connections));
        std::thread::spawn(move || {
            while !exited.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(POLL_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let clone = stream.try_clone().expect("a descriptor is free");
                open.lock().expect("no thread panics").push(clone);
                let (id, run) = (id.clone(), Arc::clone(&run));
                std::thread::spawn(move || serve(&id, stream, &run));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        Self {
            name: name.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: born.as_millis(),
            has_exited,
            connections,
        }
    }

    /// The entry under which the server registers itself.
    pub fn entry(&self) -> String {
        self.entry_with("ready")
    }

    pub fn entry_with(&self, state: &str) -> String {
        let sequence = if state == "ready" { 1 } else { 2 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold_left\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    /// Ends the server: its connections are closed, and new ones are refused.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().expect("no thread panics").drain(..) {
            // Fails if the connection has ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(id: &str, mut stream: TcpStream, run: &Run) {
    serve_requests(id, &mut stream, run);
    // Another handle of the connection is kept for the end of the server. Fails if the other side has closed it already.
    let _ = stream.shutdown(Shutdown::Both);
}

fn serve_requests(id: &str, stream: &mut TcpStream, run: &Run) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Buffer::default();
    while let Some(mut request) = buffer.read_head(stream) {
        if request.target() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            buffer.read_body(stream, &mut request, false);
            let answer =
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match run(id, &mut request, stream, &mut buffer) {
            After::Keep => {}
            After::Close => return,
        }
    }
}
