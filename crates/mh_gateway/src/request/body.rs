use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use mh_edge::{Refusal, Upload, UploadFault, hold};
use mh_types::{Code, Run};

/// Largest request body that is held so that it can be sent again, in bytes; a few hundred of them fit the smallest VM.
const HOLD_BYTES: u64 = 64 * 1024;

/// Longest wait between two pieces of a body.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request's body before it is sent.
#[derive(Debug)]
pub(super) enum Body {
    /// In memory; it can be sent again.
    Held(Bytes),
    /// Passed on as it arrives, once; `None` after it was sent.
    Passed(Option<Incoming>, UploadFault),
}

impl Body {
    /// Reads a body of known and small size; others are passed on.
    pub(super) async fn read(body: Incoming, max_bytes: u64) -> Result<Self, Refusal> {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|bytes| bytes > max_bytes) {
            return Err(Refusal::new(Code::BodyTooLarge, Run::NotRun));
        }
        if exact.is_some_and(|bytes| bytes <= HOLD_BYTES) {
            return Ok(Self::Held(hold(body, max_bytes, PIECE_TIMEOUT).await?));
        }
        Ok(Self::Passed(Some(body), UploadFault::default()))
    }

    /// The body to send; `None` when it was sent and cannot be sent again.
    pub(super) fn upload(&mut self, max_bytes: u64) -> Option<Upload> {
        match self {
            Self::Held(bytes) => Some(Upload::held(bytes.clone())),
            Self::Passed(body, fault) => body
                .take()
                .map(|body| Upload::passed(body, max_bytes, PIECE_TIMEOUT, fault.clone())),
        }
    }

    /// Whether the body can be sent now.
    pub(super) fn is_sendable(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Passed(body, _) => body.is_some(),
        }
    }

    /// The caller's fault in sending the body, if there was one.
    pub(super) fn fault(&self) -> Option<Code> {
        match self {
            Self::Held(_) => None,
            Self::Passed(_, fault) => fault.code(),
        }
    }
}
