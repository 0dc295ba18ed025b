use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Version};
use mh_edge::{ANY_IDLE_TIME, Connection, ResponseBody, Upload, strip_hop_by_hop};
use mh_limit::Stated;
use mh_route::Outcome;
use mh_route::objects::{Placement, ServerLoad};
use mh_shift::{CanaryFault, CanarySample};
use mh_types::{Code, Event, Run, emit};
use tokio::time::Instant;

use super::active_connection::ActiveConnection;
use super::answer_kind::{AnswerKind, classify_answer};
use super::attempt::{Attempt, Failure, Sent, Unsent};
use super::body::Body;
use super::buffered_answer::{BufferedBody, ReadError, read_body};
use super::counters::{Counters, increment};
use super::outgoing::server_request;
use super::request_context::RequestContext;
use super::streamed_answer::StreamedAnswer;

/// Longest wait for a connection: several round trips between regions, and less than the retransmission timeout of a
/// lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest idle time of a connection that is reused for a request that must not run twice. If the server closes the
/// connection while the request is being written, nothing indicates whether it ran; this rarely happens on recently
/// used connections.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(2);

/// Divisor of the remaining time that gives the time within which an answer's head must be complete once it has begun,
/// so that an idempotent request can still be sent to another server.
const HEAD_TIME_DIVISOR: u32 = 4;

/// Bounds of that time: a lost packet is retransmitted after about 200 ms, and nearly all heads fit into one packet. A head
/// that takes longer comes from a faulty server, and its caller is told so rather than held until its deadline.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait between two chunks of a streamed answer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Answer of a server, ready to be passed on.
#[derive(Debug)]
pub(super) struct ServerAnswer {
    pub(super) response: Response<ResponseBody>,
    /// Whether the server failed the request, in which case another server may succeed.
    pub(super) is_failure: bool,
}

/// Sends a request to the server of `placement` and reads the answer.
pub(super) async fn exchange(
    cx: &RequestContext,
    head: &Parts,
    body: &mut Body,
    placement: Placement,
    counters: &Counters,
) -> Result<ServerAnswer, Failure> {
    let server = placement.spec().name.clone();
    let attempt = Attempt::new();
    let connection = match connect(cx, &placement, counters).await {
        Ok(connection) => connection,
        Err((code, outcome)) => return Err(end_attempt(cx, placement, outcome, attempt.not_run(code))),
    };
    if cx.remaining().is_zero() {
        return Err(end_attempt(
            cx,
            placement,
            Outcome::Cancelled,
            attempt.not_run(Code::DeadlinePassed),
        ));
    }
    let Some(upload) = body.upload(cx.max_body_bytes) else {
        return Err(end_attempt(
            cx,
            placement,
            Outcome::Cancelled,
            attempt.not_run(Code::RequestIncomplete),
        ));
    };
    let sent_at = Instant::now();
    if let Some(timings) = counters.timings() {
        timings.on_sent(sent_at - cx.arrived);
    }
    let req = server_request(head, cx, &server, upload);
    let usage = cx.usage.begin(cx.org.as_deref());
    let (sent, connection) = send(cx, attempt, connection, req, &placement, counters).await;
    let result = match sent {
        Ok((attempt, answer)) => {
            let active = ActiveConnection {
                connection,
                may_reuse: body.is_fully_sent(),
            };
            let answered = receive(cx, attempt, active, placement, answer, sent_at).await;
            if let (Ok(_), Some(timings)) = (&answered, counters.timings()) {
                timings.on_answer(sent_at.elapsed());
            }
            answered
        }
        Err((failure, outcome)) => {
            // The caller aborted its body, which says nothing about the server.
            let is_caller_fault = body.caller_fault().is_some();
            if outcome == Outcome::Failed && !is_caller_fault && failure.run() == Run::Unknown {
                cx.record_loss(&placement);
            }
            // While this VM is cut off, the connection broke and not the server.
            let is_path_fault = !connection.is_tunnelled() && cx.paths.is_cut_off();
            let outcome = if is_caller_fault || is_path_fault {
                Outcome::Cancelled
            } else {
                outcome
            };
            Err(end_attempt(cx, placement, outcome, failure))
        }
    };
    if let (Some(usage), Err(failure)) = (usage, &result)
        && failure.run() == Run::NotRun
    {
        usage.not_run();
    }
    result
}

async fn connect(
    cx: &RequestContext,
    placement: &Placement,
    counters: &Counters,
) -> Result<Connection, (Code, Outcome)> {
    let connections = cx.backends.connections(&placement.spec().name);
    let connections = connections.ok_or((Code::NoServer, Outcome::Failed))?;
    let max_idle_time = if cx.route.kind.may_repeat() {
        ANY_IDLE_TIME
    } else {
        MAX_IDLE_NON_IDEMPOTENT
    };
    let limit = CONNECT_TIMEOUT.min(cx.remaining());
    let started = Instant::now();
    let connection = connections.take(&cx.dialer(), limit, max_idle_time).await;
    let connection = connection.map_err(|code| {
        // Without a path to any server, nothing is known about this one.
        let has_timed_out = started.elapsed() >= limit;
        let is_path_fault = code == Code::NoPath || (has_timed_out && cx.paths.is_cut_off());
        let outcome = if is_path_fault {
            Outcome::Cancelled
        } else {
            Outcome::Failed
        };
        (code, outcome)
    })?;
    if let Some(connect_time) = connection.connect_time {
        increment(&counters.connects);
        placement.connected(connect_time);
    }
    Ok(connection)
}

type SentAnswer = (Attempt<Sent>, Response<Incoming>);
type SendResult = Result<SentAnswer, (Failure, Outcome)>;

/// Sends on `connection`. If a reused connection turns out to be closed before any byte of the message was written,
/// sends once more on a new one.
async fn send(
    cx: &RequestContext,
    attempt: Attempt<Unsent>,
    mut connection: Connection,
    req: Request<Upload>,
    placement: &Placement,
    counters: &Counters,
) -> (SendResult, Connection) {
    let attempt = attempt.send();
    let mut error = match try_send(cx, &mut connection, req).await {
        None => return (Err((attempt.lost(Code::AnswerTimeout), Outcome::TimedOut)), connection),
        Some(Ok(answer)) => return (Ok((attempt, answer)), connection),
        Some(Err(error)) => error,
    };
    let Some(req) = error.take_message() else {
        return (Err((attempt.lost(Code::AnswerLost), Outcome::Failed)), connection);
    };
    let attempt = attempt.handed_back(&req);
    let Some(connections) = cx
        .backends
        .connections(&placement.spec().name)
        .filter(|_| connection.reused)
    else {
        return (Err((attempt.not_run(Code::ConnectFailed), Outcome::Failed)), connection);
    };
    let mut fresh = match connections
        .open(&cx.dialer(), CONNECT_TIMEOUT.min(cx.remaining()))
        .await
    {
        Ok(fresh) => fresh,
        Err(code) => return (Err((attempt.not_run(code), Outcome::Failed)), connection),
    };
    increment(&counters.connects);
    let attempt = attempt.send();
    let result = match try_send(cx, &mut fresh, req).await {
        None => Err((attempt.lost(Code::AnswerTimeout), Outcome::TimedOut)),
        Some(Ok(answer)) => Ok((attempt, answer)),
        Some(Err(_)) => Err((attempt.lost(Code::AnswerLost), Outcome::Failed)),
    };
    (result, fresh)
}

async fn try_send(
    cx: &RequestContext,
    connection: &mut Connection,
    req: Request<Upload>,
) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
    let may_repeat = cx.route.kind.may_repeat();
    // Time need be left for another server only if the request can be sent to one.
    let head_timeout = if may_repeat {
        (cx.remaining() / HEAD_TIME_DIVISOR).clamp(MIN_HEAD_TIMEOUT, MAX_HEAD_TIMEOUT)
    } else {
        MAX_HEAD_TIMEOUT
    };
    let may_give_up = may_repeat && !connection.is_tunnelled();
    tokio::select! {
        sent = connection.send(req, cx.answer_by(), head_timeout) => {
            if matches!(sent, Some(Ok(_))) {
                cx.paths.on_answer();
            }
            sent
        }
        () = cx.paths.silenced(), if may_give_up => None,
    }
}

/// Reads the answer and validates that it belongs to this request.
async fn receive(
    cx: &RequestContext,
    attempt: Attempt<Sent>,
    active: ActiveConnection,
    placement: Placement,
    answer: Response<Incoming>,
    sent_at: Instant,
) -> Result<ServerAnswer, Failure> {
    let (mut head, body) = answer.into_parts();
    let reuse_for = active.reuse_for(&head.headers);
    let connection = active.connection;
    let kind = classify_answer(cx, &head, connection.reused);
    record_reports(cx, &placement, &kind, &head.headers, sent_at);
    match kind {
        AnswerKind::Valid => {}
        AnswerKind::Mismatched => {
            connection.note_unsolicited_data();
            return Err(end_attempt(
                cx,
                placement,
                Outcome::Failed,
                attempt.lost(Code::AnswerMismatch),
            ));
        }
        AnswerKind::Invalid => {
            return Err(end_attempt(
                cx,
                placement,
                Outcome::Failed,
                attempt.lost(Code::AnswerInvalid),
            ));
        }
        AnswerKind::NotRun(code, outcome) => {
            // The head is sufficient; the body may be long or endless.
            if let Some(reuse_for) = reuse_for {
                connection.release_after_drain(body, reuse_for);
            }
            return Err(end_attempt(cx, placement, outcome, attempt.refused_by_server(code)));
        }
    }
    let buffered = match read_body(body, &cx.buffer_budget, cx.answer_by()).await {
        Ok(buffered) => buffered,
        Err(ReadError::Truncated) => {
            cx.record_loss(&placement);
            return Err(end_attempt(
                cx,
                placement,
                Outcome::Failed,
                attempt.lost(Code::AnswerLost),
            ));
        }
        Err(ReadError::TimedOut) => {
            return Err(end_attempt(
                cx,
                placement,
                Outcome::TimedOut,
                attempt.lost(Code::AnswerTimeout),
            ));
        }
    };
    cx.record_answer();
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    let is_failure = head.status.is_server_error();
    let outcome = Outcome::Answered {
        status: head.status.as_u16(),
        latency: sent_at.elapsed(),
    };
    record_canary_sample(cx, &placement, outcome);
    emit!(
        Event::RequestAnswered,
        request = cx.id,
        organisation = cx.org.as_ref().map_or("none", |org| org.name.as_str()),
        route = cx.route.name,
        object = cx.object_tag(),
        revision = cx.revision,
        server = placement.spec().name,
        warm = placement.holds_object(),
        forecast_ms = placement.forecast().as_millis(),
        status = head.status.as_u16(),
        after_ms = cx.elapsed_ms()
    );
    let body = match buffered {
        BufferedBody::Complete(bytes) => {
            if let Some(reuse_for) = reuse_for {
                connection.release_for(reuse_for);
            }
            placement.done(Instant::now(), outcome);
            ResponseBody::buffered(bytes)
        }
        BufferedBody::Partial(start, rest) => {
            let observer = StreamedAnswer {
                connection,
                placement,
                outcome,
                reuse_for,
            };
            ResponseBody::streamed(start, rest, CHUNK_TIMEOUT, cx.answer_by(), Box::new(observer))
        }
    };
    Ok(ServerAnswer {
        response: Response::from_parts(head, body),
        is_failure,
    })
}

/// Records the load and the limit that a server reports in its answer.
fn record_reports(
    cx: &RequestContext,
    placement: &Placement,
    kind: &AnswerKind,
    headers: &HeaderMap,
    sent_at: Instant,
) {
    let load = headers.get(&cx.headers.server_load).and_then(|v| v.to_str().ok());
    if let Some(load) = load.and_then(ServerLoad::parse) {
        placement.reported_load(Instant::now(), &load);
    }
    if let Some(stated) = stated_limit(cx, kind, headers) {
        cx.limits.on_answer(placement, sent_at, stated);
    }
}

/// Returns what an answer says about its server's limit; `None` if it comes from something else.
fn stated_limit(cx: &RequestContext, kind: &AnswerKind, headers: &HeaderMap) -> Option<Stated> {
    let values = headers.get_all(&cx.headers.server_limit).iter();
    let stated = Stated::from_values(values.map(|value| value.to_str().ok()));
    match (kind, stated) {
        // A refusal may be written before the server adds its other headers.
        (AnswerKind::NotRun(Code::NoCapacity, _), Stated::Nothing) => Some(Stated::Unknown),
        (AnswerKind::NotRun(Code::NoCapacity, _) | AnswerKind::Valid, stated) => Some(stated),
        _ => None,
    }
}

/// Logs a failed attempt and reports its outcome to the pool and, if the request may have run, to the canary.
fn end_attempt(cx: &RequestContext, placement: Placement, outcome: Outcome, failure: Failure) -> Failure {
    emit!(
        Event::AttemptFailed,
        request = cx.id,
        route = cx.route.name,
        object = cx.object_tag(),
        server = placement.spec().name,
        warm = placement.holds_object(),
        forecast_ms = placement.forecast().as_millis(),
        code = failure.code().number(),
        run = failure.run(),
        after_ms = cx.elapsed_ms()
    );
    // An unreachable server, or one that refuses requests, is no evidence about its version.
    if failure.run() == Run::Unknown {
        record_canary_sample(cx, &placement, outcome);
    }
    placement.done(Instant::now(), outcome);
    failure
}

/// Records the outcome of the attempt as evidence about a new version.
fn record_canary_sample(cx: &RequestContext, placement: &Placement, outcome: Outcome) {
    let Some(shift) = &cx.shift else { return };
    let Some(canary) = &shift.canary else { return };
    let (fault, time_ratio) = match outcome {
        // A server that stops work at its deadline answers 504.
        Outcome::Answered { status: 504, .. } | Outcome::TimedOut => (Some(CanaryFault::TimedOut), None),
        Outcome::Answered { status, .. } if status >= 500 => (Some(CanaryFault::Error), None),
        Outcome::Answered { latency, .. } => {
            // Before the first answers of a route nothing says how long its work takes.
            let is_forecast = !placement.work().is_zero();
            let forecast = placement.forecast().as_secs_f64().max(0.001);
            (None, is_forecast.then(|| latency.as_secs_f64() / forecast))
        }
        Outcome::Failed => (Some(CanaryFault::Error), None),
        Outcome::Shed | Outcome::Closing | Outcome::Cancelled => return,
    };
    // A cold server is slow regardless of its version.
    if placement.is_cold() {
        return;
    }
    canary.observe(
        &cx.route.name,
        CanarySample {
            is_new: placement.spec().version == shift.to,
            fault,
            time_ratio,
        },
    );
}
