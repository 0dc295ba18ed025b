//! HTTP/1.1 messages over blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Bytes of a connection that were read and not used yet.
#[derive(Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    fn fill(&mut self, stream: &mut TcpStream) -> std::io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        loop {
            match stream.read(&mut chunk) {
                Ok(len) => {
                    self.0.extend_from_slice(&chunk[..len]);
                    return Ok(len);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads a head; `None` if the connection ended before its end.
    pub fn read_head(&mut self, stream: &mut TcpStream) -> Option<Message> {
        loop {
            if let Some(end) = find(&self.0, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.0[..end]).into_owned();
                self.0.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Some(Message {
                    first_line,
                    headers: headers.collect(),
                    ..Message::default()
                });
            }
            if !self.fill(stream).is_ok_and(|len| len > 0) {
                return None;
            }
        }
    }

    /// Reads the body that belongs to the head `message`; `until_close` says whether one without a length ends with the
    /// connection.
    pub fn read_body(&mut self, stream: &mut TcpStream, message: &mut Message, until_close: bool) {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if chunked {
            message.is_whole = self.read_chunks(stream, &mut message.body).is_some();
            return;
        }
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        match length {
            Some(length) => {
                while self.0.len() < length && self.fill(stream).is_ok_and(|len| len > 0) {}
                message.is_whole = self.0.len() >= length;
                let taken = length.min(self.0.len());
                message.body = self.0.drain(..taken).collect();
            }
            None if until_close => {
                let ended = loop {
                    match self.fill(stream) {
                        Ok(0) => break true,
                        Ok(_) => {}
                        Err(_) => break false,
                    }
                };
                message.is_whole = ended;
                message.body = std::mem::take(&mut self.0);
            }
            None => message.is_whole = true,
        }
    }

    fn read_chunks(&mut self, stream: &mut TcpStream, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line = loop {
                if let Some(end) = find(&self.0, b"\r\n") {
                    let line = String::from_utf8_lossy(&self.0[..end]).into_owned();
                    self.0.drain(..end + 2);
                    break line;
                }
                self.fill(stream).ok().filter(|len| *len > 0)?;
            };
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            while self.0.len() < size + 2 {
                if !self.fill(stream).is_ok_and(|len| len > 0) {
                    body.extend(self.0.drain(..));
                    return None;
                }
            }
            body.extend(self.0.drain(..size));
            self.0.drain(..2);
            if size == 0 {
                return Some(());
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends `head` and `body` on a new connection and reads the answer; `None` if none came within `limit`.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&mut stream, &mut Buffer::default(), end)
}

/// Reads one final answer.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Buffer, end: Instant) -> Option<Message> {
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut answer = loop {
        let head = buffer.read_head(stream)?;
        if head.status() >= 200 {
            break head;
        }
    };
    buffer.read_body(stream, &mut answer, true);
    Some(answer)
}
