//! Blocking HTTP/1.1 messages.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received request or response; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing of the body was complete.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(held, _)| held == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; `false` at the end of the connection, on an error and after `until`.
    fn fill(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero()
            || self
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .is_err()
        {
            return false;
        }
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(len) if len > 0 => {
                self.rest.extend_from_slice(&chunk[..len]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self, until: Instant) -> Option<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_owned());
            }
            if !self.fill(until) {
                return None;
            }
        }
    }

    fn take(&mut self, len: usize, until: Instant) -> Option<Vec<u8>> {
        while self.rest.len() < len {
            if !self.fill(until) {
                return None;
            }
        }
        Some(self.rest.drain(..len).collect())
    }

    /// Reads one message with its body; `None` if no complete head arrives.
    pub fn read(&mut self, until: Instant) -> Option<Message> {
        let mut message = Message {
            start: self.line(until)?,
            ..Message::default()
        };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            loop {
                let Some(len) = self
                    .line(until)
                    .and_then(|line| usize::from_str_radix(line.trim(), 16).ok())
                else {
                    return Some(message);
                };
                let Some(chunk) = self.take(len + 2, until) else {
                    return Some(message);
                };
                message.body.extend_from_slice(&chunk[..len]);
                if len == 0 {
                    message.is_whole = true;
                    return Some(message);
                }
            }
        }
        let len = message
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        match self.take(len.unwrap_or(0), until) {
            Some(body) => {
                message.body = body;
                message.is_whole = true;
            }
            None => message.body = std::mem::take(&mut self.rest),
        }
        Some(message)
    }
}
