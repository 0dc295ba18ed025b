use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use mh_edge::{Refusal, Upload, UploadProgress, drain, read_body};
use mh_types::{Code, Run};
use siphasher::sip128::SipHasher13;
use tokio::time::Instant;

use crate::RequestKind;
use mh_edge::BufferBudget;

/// Largest body that is buffered so that it can be sent again, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Largest body of an upload that is buffered, in bytes. Servers of a busy service often refuse uploads, and without
/// the buffer the caller would have to send the whole body again.
const MAX_BUFFERED_UPLOAD_BYTES: u64 = 512 * 1024;

/// Longest wait between two chunks of a body.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of a request before it is sent.
#[derive(Debug)]
pub(super) enum Body {
    /// In memory; it can be sent more than once.
    Buffered(Bytes),
    /// Forwarded as it arrives, once; `None` after it was sent.
    Streamed(Option<Incoming>, UploadProgress),
}

impl Body {
    /// Buffers a body of known, small size until `deadline` if `budget` has room for it; other bodies are streamed.
    pub(super) async fn read(
        body: Incoming,
        kind: RequestKind,
        max_bytes: u64,
        budget: &BufferBudget,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|bytes| bytes > max_bytes) {
            drain(body);
            return Err(Refusal::new(Code::BodyTooLarge, Run::NotRun));
        }
        let max_buffered = match kind {
            RequestKind::Upload => MAX_BUFFERED_UPLOAD_BYTES,
            RequestKind::Idempotent | RequestKind::NonIdempotent => MAX_BUFFERED_BYTES,
        };
        let permit = exact
            .filter(|bytes| *bytes <= max_buffered)
            .and_then(|bytes| budget.reserve(usize::try_from(bytes).ok()?));
        match permit {
            Some(permit) => {
                let buffered = read_body(body, max_bytes, CHUNK_TIMEOUT, deadline).await?;
                Ok(Self::Buffered(permit.attach(buffered)))
            }
            None => Ok(Self::Streamed(Some(body), UploadProgress::default())),
        }
    }

    /// Returns the body to send; `None` if it was sent and cannot be sent again.
    pub(super) fn upload(&mut self, max_bytes: u64) -> Option<Upload> {
        match self {
            Self::Buffered(bytes) => Some(Upload::buffered(bytes.clone())),
            Self::Streamed(body, progress) => body
                .take()
                .map(|body| Upload::streamed(body, max_bytes, CHUNK_TIMEOUT, progress.clone())),
        }
    }

    /// Returns a hash of a body that is in memory.
    pub(super) fn digest(&self) -> Option<[u8; 16]> {
        match self {
            Self::Buffered(bytes) => Some(SipHasher13::new().hash(bytes).as_bytes()),
            Self::Streamed(..) => None,
        }
    }

    /// Returns whether the body can be sent now.
    pub(super) fn is_sendable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body, _) => body.is_some(),
        }
    }

    /// Returns whether the connection received the whole body. A server that answers earlier reads the rest later, and
    /// would take the next request for a part of the body.
    pub(super) fn is_fully_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(_, progress) => progress.is_whole(),
        }
    }

    /// Returns the caller's error in sending the body, if there was one.
    pub(super) fn caller_fault(&self) -> Option<Code> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(_, progress) => progress.fault(),
        }
    }
}

impl Drop for Body {
    /// Reads and discards the rest of the body if the request was refused before it was sent.
    fn drop(&mut self) {
        if let Self::Streamed(body, _) = self
            && let Some(body) = body.take()
        {
            drain(body);
        }
    }
}
