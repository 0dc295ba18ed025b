use hyper::StatusCode;
use hyper::http::response::Parts as Head;
use mh_route::Outcome;
use mh_types::Code;

use super::cx::Cx;

/// What the head of an answer says about the request.
pub(super) enum Verdict {
    /// The server did not run it.
    NotRun(Code, Outcome),
    /// The answer belongs to no request, or to another one.
    Stray,
    /// A success that no backend server gave.
    Unmarked,
    /// The answer to this request.
    Answer,
}

/// Judges the head of an answer; `reused` says whether an earlier request used its connection.
pub(super) fn judge(cx: &Cx, head: &Head, reused: bool) -> Verdict {
    let echoed = head.headers.get(&cx.headers.request_id);
    let is_moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_moved || head.headers.contains_key(&cx.headers.not_run);
    let has_mark = cx
        .headers
        .mark
        .as_ref()
        .is_none_or(|mark| head.headers.contains_key(mark));
    match echoed {
        Some(id) if *id != cx.id_header => Verdict::Stray,
        // On a connection that was used before, a refusal without an id may be a late one of an earlier request.
        None if !is_not_run || reused => Verdict::Stray,
        _ if is_moved => Verdict::NotRun(Code::ServerLeaving, Outcome::Failed),
        _ if is_not_run => Verdict::NotRun(Code::NoCapacity, Outcome::Shed),
        _ if head.status.is_success() && !has_mark => Verdict::Unmarked,
        _ => Verdict::Answer,
    }
}
