use hyper::StatusCode;
use hyper::http::response::Parts as Head;
use mh_edge::is_final_status;
use mh_route::Outcome;
use mh_types::Code;

use super::request_context::RequestContext;

/// Classification of an answer by its head.
pub(super) enum AnswerKind {
    /// The server did not run the request.
    NotRun(Code, Outcome),
    /// The answer carries no request id or that of another request.
    Mismatched,
    /// No final status, or a success without the header that every backend server sets.
    Invalid,
    /// The answer to this request.
    Valid,
}

/// Classifies an answer by its head; `reused` states whether an earlier request used the connection.
pub(super) fn classify_answer(cx: &RequestContext, head: &Head, reused: bool) -> AnswerKind {
    let echoed = head.headers.get(&cx.headers.request_id);
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_misdirected || head.headers.contains_key(&cx.headers.not_run);
    let has_stamp = cx
        .headers
        .server_stamp
        .as_ref()
        .is_none_or(|stamp| head.headers.contains_key(stamp));
    match echoed {
        Some(id) if *id != cx.id_header => AnswerKind::Mismatched,
        // On a reused connection, a refusal without an id may be a late one for an earlier request.
        None if !is_not_run || reused => AnswerKind::Mismatched,
        _ if !is_final_status(head.status) => AnswerKind::Invalid,
        _ if is_misdirected => AnswerKind::NotRun(Code::ServerLeaving, Outcome::Failed),
        _ if is_not_run => AnswerKind::NotRun(Code::NoCapacity, Outcome::Shed),
        _ if head.status.is_success() && !has_stamp => AnswerKind::Invalid,
        _ => AnswerKind::Valid,
    }
}
