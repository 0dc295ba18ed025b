use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use tokio::time::Instant;

use mh_edge::BufferBudget;

/// Largest answer that is buffered before it is passed on, in bytes. Only a buffered answer can be checked for
/// truncation before the caller gets it; a truncated one makes an idempotent request be sent again.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Assumed keep-alive time of a server that doesn't state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Margin before the end of a server's stated keep-alive time, so that a request does not coincide with the close of
/// the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Body of an answer, as far as it was read.
#[derive(Debug)]
pub(super) enum BufferedBody {
    Complete(Bytes),
    /// Longer than the buffer limit; the rest has not been read.
    Partial(Bytes, Incoming),
}

/// Reason why an answer could not be read.
#[derive(Debug)]
pub(super) enum ReadError {
    Truncated,
    TimedOut,
}

/// Buffers a body up to the size limit if `budget` has room for it.
pub(super) async fn read_body(
    mut body: Incoming,
    budget: &BufferBudget,
    until: Instant,
) -> Result<BufferedBody, ReadError> {
    let max_bytes = body
        .size_hint()
        .upper()
        .unwrap_or(u64::MAX)
        .min(MAX_BUFFERED_BYTES as u64);
    let Some(permit) = budget.reserve(max_bytes as usize) else {
        return Ok(BufferedBody::Partial(Bytes::new(), body));
    };
    let mut buffered = BytesMut::new();
    loop {
        match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(BufferedBody::Complete(permit.attach(buffered.freeze()))),
            Ok(Some(Err(_))) => return Err(ReadError::Truncated),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    buffered.extend_from_slice(data);
                }
            }
            Err(_) => return Err(ReadError::TimedOut),
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            return Ok(BufferedBody::Partial(permit.attach(buffered.freeze()), body));
        }
    }
}

/// Returns how long the connection of an answer may be reused; `None` if the server closes it.
pub(super) fn reuse_for(headers: &HeaderMap) -> Option<Duration> {
    let mut connection = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    if connection.any(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let stated = headers
        .get(HeaderName::from_static("keep-alive"))
        .and_then(|value| value.to_str().ok());
    let seconds = stated
        .into_iter()
        .flat_map(|value| value.split(','))
        .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    Some(seconds.map_or(DEFAULT_KEEP_ALIVE, |s| {
        Duration::from_secs(s).saturating_sub(KEEP_ALIVE_MARGIN)
    }))
}
