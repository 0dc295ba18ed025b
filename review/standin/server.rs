//! A backend server as the users' pages describe it; what it does with a request is up to the case.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

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
}

impl Server {
    pub fn start(name: &str, service: &str, zone: &str, run: Run) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let id = name.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
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
        }
    }

    /// The entry under which the server registers itself.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_left\":\"0ms\",\"sequence\":1,\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }
}

fn serve(id: &str, mut stream: TcpStream, run: &Run) {
    let stream = &mut stream;
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
