use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use mh_edge::{Refusal, Upload, UploadProgress, drain, read_body};
use mh_types::{Code, Run};
use tokio::time::Instant;

use super::hold_budget::HoldBudget;
use crate::RequestKind;

/// Largest body that is held so that it can be sent again, in bytes.
const HOLD_BYTES: u64 = 64 * 1024;

/// Largest body of an upload that is held, in bytes. A server that refuses an upload is common on a busy service, and
/// the caller would otherwise have to send all of it again.
const HOLD_UPLOAD_BYTES: u64 = 512 * 1024;

/// Longest wait between two pieces of a body.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request's body before it is sent.
#[derive(Debug)]
pub(super) enum Body {
    /// In memory; it can be sent again.
    Held(Bytes),
    /// Passed on as it arrives, once; `None` after it was sent.
    Passed(Option<Incoming>, UploadProgress),
}

impl Body {
    /// Reads a body of known and small size until `until` if `budget` has room for it; others are passed on.
    pub(super) async fn read(
        body: Incoming,
        kind: RequestKind,
        max_bytes: u64,
        budget: &HoldBudget,
        until: Instant,
    ) -> Result<Self, Refusal> {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|bytes| bytes > max_bytes) {
            drain(body);
            return Err(Refusal::new(Code::BodyTooLarge, Run::NotRun));
        }
        let most = match kind {
            RequestKind::Upload => HOLD_UPLOAD_BYTES,
            RequestKind::Idempotent | RequestKind::NonIdempotent => HOLD_BYTES,
        };
        let permit = exact
            .filter(|bytes| *bytes <= most)
            .and_then(|bytes| budget.reserve(usize::try_from(bytes).ok()?));
        match permit {
            Some(permit) => {
                let held = read_body(body, max_bytes, PIECE_TIMEOUT, until).await?;
                Ok(Self::Held(permit.hold(held)))
            }
            None => Ok(Self::Passed(Some(body), UploadProgress::default())),
        }
    }

    /// The body to send; `None` when it was sent and cannot be sent again.
    pub(super) fn upload(&mut self, max_bytes: u64) -> Option<Upload> {
        match self {
            Self::Held(bytes) => Some(Upload::buffered(bytes.clone())),
            Self::Passed(body, progress) => body
                .take()
                .map(|body| Upload::streamed(body, max_bytes, PIECE_TIMEOUT, progress.clone())),
        }
    }

    /// Whether the body can be sent now.
    pub(super) fn is_sendable(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Passed(body, _) => body.is_some(),
        }
    }

    /// Whether the connection got all of the body. A server that answers before that reads the rest later, where the
    /// next request would stand.
    pub(super) fn is_sent_whole(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Passed(_, progress) => progress.is_whole(),
        }
    }

    /// The caller's fault in sending the body, if there was one.
    pub(super) fn fault(&self) -> Option<Code> {
        match self {
            Self::Held(_) => None,
            Self::Passed(_, progress) => progress.fault(),
        }
    }
}

impl Drop for Body {
    /// Reads on what the caller still sends when its request was refused before it was sent.
    fn drop(&mut self) {
        if let Self::Passed(body, _) = self
            && let Some(body) = body.take()
        {
            drain(body);
        }
    }
}
