use bytes::BytesMut;

use super::request_head::{Framing, HeadStatus, may_complete_head, parse_head};

/// Largest head whose end is tracked, in bytes; the HTTP library refuses larger ones.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Position in the byte stream of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// In a request head, or between two requests.
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// All bytes of the request were passed on, and it is not answered yet.
    Running,
    /// The end of the request is not known; all bytes are passed on.
    Unknown,
}

/// Divides the bytes of a connection into requests, so that the HTTP library gets one request at a time.
///
/// The library never holds bytes of a request behind the running one. The rest of a connection is passed on undivided
/// from the first request whose end follows from anything other than its head.
#[derive(Debug)]
pub(crate) struct MessageSplitter {
    phase: Phase,
    /// First bytes of an incomplete head, which were passed on already.
    partial: BytesMut,
    is_answered: bool,
}

/// Bytes that may be passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Passed {
    pub(crate) bytes: usize,
    /// Whether the last bytes of a head are among them.
    pub(crate) ends_head: bool,
}

impl MessageSplitter {
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Head,
            partial: BytesMut::new(),
            is_answered: false,
        }
    }

    /// Returns whether a request was passed on as a whole and is not answered.
    pub(crate) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Passes the rest of the connection on undivided.
    pub(crate) fn give_up(&mut self) {
        self.phase = Phase::Unknown;
        self.partial = BytesMut::new();
    }

    /// Records that the request was answered.
    pub(crate) fn on_answered(&mut self) {
        self.is_answered = true;
        if self.phase == Phase::Running {
            self.phase = Phase::Head;
        }
    }

    /// Returns how many of the next `bytes` belong to the current request.
    pub(crate) fn pass(&mut self, bytes: &[u8]) -> Passed {
        let mut passed = Passed::default();
        while passed.bytes < bytes.len() {
            let rest = &bytes[passed.bytes..];
            match self.phase {
                Phase::Running => break,
                Phase::Unknown => passed.bytes = bytes.len(),
                Phase::Body(left) => {
                    let len = usize::try_from(left).map_or(rest.len(), |left| left.min(rest.len()));
                    passed.bytes += len;
                    self.on_body(left - len as u64);
                }
                Phase::Head => {
                    let (len, ends_head) = self.pass_head(rest);
                    passed.bytes += len;
                    passed.ends_head |= ends_head;
                }
            }
        }
        passed
    }

    fn on_body(&mut self, left: u64) {
        self.phase = match (left, self.is_answered) {
            (0, true) => Phase::Head,
            (0, false) => Phase::Running,
            _ => Phase::Body(left),
        };
    }

    fn pass_head(&mut self, bytes: &[u8]) -> (usize, bool) {
        let before = self.partial.len();
        let status = if before == 0 {
            parse_head(bytes)
        } else {
            self.partial.extend_from_slice(bytes);
            if may_complete_head(&self.partial, before) {
                parse_head(&self.partial)
            } else {
                HeadStatus::Partial
            }
        };
        match status {
            HeadStatus::Complete { len, framing } => {
                self.partial.clear();
                self.is_answered = false;
                match framing {
                    Framing::Bodiless => self.on_body(0),
                    Framing::Length(left) => self.on_body(left),
                    Framing::Unknown => self.give_up(),
                }
                (len.saturating_sub(before), true)
            }
            HeadStatus::Partial if before + bytes.len() <= MAX_HEAD_BYTES => {
                if before == 0 {
                    self.partial.extend_from_slice(bytes);
                }
                (bytes.len(), false)
            }
            HeadStatus::Partial | HeadStatus::Invalid => {
                self.give_up();
                (bytes.len(), false)
            }
        }
    }
}
