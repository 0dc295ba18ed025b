use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use tokio::time::Instant;

use super::hold_budget::HoldBudget;

/// Largest answer that is read whole before it is passed on, in bytes. An answer that breaks off can be told from a
/// whole one only then, and an idempotent request is sent again instead.
const HOLD_BYTES: usize = 64 * 1024;

/// How long a server is assumed to keep an idle connection that it states no time for.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Time before a server's stated end of an idle connection at which it is no longer used, so that a request does not
/// meet the close.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// An answer's body, as far as it was read.
#[derive(Debug)]
pub(super) enum HeldBody {
    Whole(Bytes),
    /// Longer than is held; the rest still comes.
    Start(Bytes, Incoming),
}

/// Why reading an answer failed.
#[derive(Debug)]
pub(super) enum ReadFault {
    BrokenOff,
    TooLate,
}

/// Reads a body up to the size that is held, if `budget` has room for it.
pub(super) async fn read(mut body: Incoming, budget: &HoldBudget, until: Instant) -> Result<HeldBody, ReadFault> {
    let most = body.size_hint().upper().unwrap_or(u64::MAX).min(HOLD_BYTES as u64);
    let Some(permit) = budget.reserve(most as usize) else {
        return Ok(HeldBody::Start(Bytes::new(), body));
    };
    let mut held = BytesMut::new();
    loop {
        match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(HeldBody::Whole(permit.hold(held.freeze()))),
            Ok(Some(Err(_))) => return Err(ReadFault::BrokenOff),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    held.extend_from_slice(data);
                }
            }
            Err(_) => return Err(ReadFault::TooLate),
        }
        if held.len() > HOLD_BYTES {
            return Ok(HeldBody::Start(permit.hold(held.freeze()), body));
        }
    }
}

/// How long the connection of an answer may be used again; `None` when the server closes it.
pub(super) fn keep_for(headers: &HeaderMap) -> Option<Duration> {
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
    Some(seconds.map_or(DEFAULT_KEEP, |s| Duration::from_secs(s).saturating_sub(KEEP_MARGIN)))
}
