use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use mh_edge::{ANY_AGE, Connection, ResponseBody, Upload, strip_hop_by_hop};
use mh_route::Outcome;
use mh_route::objects::Placement;
use mh_shift::{CanaryFault, CanarySample};
use mh_types::{Code, Event, Run, emit};
use tokio::time::Instant;

use super::answering::Answering;
use super::attempt::{Attempt, Failure, Sent, Unsent};
use super::body::Body;
use super::counters::{Counters, add};
use super::cx::Cx;
use super::held_answer::{HeldBody, ReadFault, read};
use super::in_use::InUse;
use super::outgoing::message;
use super::verdict::{Verdict, judge};

/// Longest wait for a connection: several round trips between regions, and less than a lost opening packet takes to be
/// sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest idle time of a connection that may carry a request that must not run twice. If the server closes the
/// connection just as the request is written, nothing tells whether it ran; connections used this lately rarely meet
/// that.
const FRESH_IDLE: Duration = Duration::from_secs(2);

/// Part of the time left, as a divisor, in which the head of an answer that has begun must be whole, so that an
/// idempotent request can go elsewhere in time.
const HEAD_PART: u32 = 4;

/// Bounds of that time: a lost packet is sent again after some 200 ms, and nearly all heads fit one packet.
const MIN_HEAD_LIMIT: Duration = Duration::from_millis(100);
const MAX_HEAD_LIMIT: Duration = Duration::from_millis(500);

/// Longest silence in the rest of an answer that is passed on as it arrives.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// A server's answer, ready to be passed on.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) response: Response<ResponseBody>,
    /// Whether the server failed the request, so that another server may do better.
    pub(super) is_failure: bool,
}

/// Sends a request to the server of `placed` and reads the answer.
pub(super) async fn exchange(
    cx: &Cx,
    head: &Parts,
    body: &mut Body,
    placed: Placement,
    counters: &Counters,
) -> Result<Answered, Failure> {
    let server = placed.spec().name.clone();
    let attempt = Attempt::new();
    let connection = match connect(cx, &placed, counters).await {
        Ok(connection) => connection,
        Err(code) => return Err(failed(cx, placed, Outcome::Failed, attempt.not_run(code))),
    };
    if cx.left().is_zero() {
        return Err(failed(
            cx,
            placed,
            Outcome::Cancelled,
            attempt.not_run(Code::DeadlinePassed),
        ));
    }
    let Some(upload) = body.upload(cx.max_body_bytes) else {
        return Err(failed(
            cx,
            placed,
            Outcome::Cancelled,
            attempt.not_run(Code::RequestIncomplete),
        ));
    };
    let sent_at = Instant::now();
    if let Some(timings) = counters.timings() {
        timings.on_sent(sent_at - cx.arrived);
    }
    let req = message(head, cx, &server, upload);
    let (sent, connection) = send(cx, attempt, connection, req, &placed, counters).await;
    match sent {
        Ok((attempt, answer)) => {
            let in_use = InUse {
                connection,
                may_keep: body.is_sent_whole(),
            };
            let answered = receive(cx, attempt, in_use, placed, answer, sent_at).await;
            if let (Ok(_), Some(timings)) = (&answered, counters.timings()) {
                timings.on_answer(sent_at.elapsed());
            }
            answered
        }
        Err((failure, outcome)) => {
            // The caller broke off its body; that says nothing about the server.
            let outcome = if body.fault().is_some() {
                Outcome::Cancelled
            } else {
                outcome
            };
            Err(failed(cx, placed, outcome, failure))
        }
    }
}

async fn connect(cx: &Cx, placed: &Placement, counters: &Counters) -> Result<Connection, Code> {
    let connections = cx.backends.connections(&placed.spec().name).ok_or(Code::NoServer)?;
    let max_age = if cx.route.kind.may_repeat() {
        ANY_AGE
    } else {
        FRESH_IDLE
    };
    let limit = CONNECT_TIMEOUT.min(cx.left());
    let connection = connections.take(limit, max_age).await?;
    if let Some(took) = connection.connect_time {
        add(&counters.connects);
        placed.connected(took);
    }
    Ok(connection)
}

type Answer = (Attempt<Sent>, Response<Incoming>);
type SendResult = Result<Answer, (Failure, Outcome)>;

/// Sends on `connection`, and once more on a new one when a kept connection turns out to be closed before any byte of
/// the message was written.
async fn send(
    cx: &Cx,
    attempt: Attempt<Unsent>,
    mut connection: Connection,
    req: Request<Upload>,
    placed: &Placement,
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
        .connections(&placed.spec().name)
        .filter(|_| connection.reused)
    else {
        return (Err((attempt.not_run(Code::ConnectFailed), Outcome::Failed)), connection);
    };
    let mut fresh = match connections.open(CONNECT_TIMEOUT.min(cx.left())).await {
        Ok(fresh) => fresh,
        Err(code) => return (Err((attempt.not_run(code), Outcome::Failed)), connection),
    };
    add(&counters.connects);
    let attempt = attempt.send();
    let result = match try_send(cx, &mut fresh, req).await {
        None => Err((attempt.lost(Code::AnswerTimeout), Outcome::TimedOut)),
        Some(Ok(answer)) => Ok((attempt, answer)),
        Some(Err(_)) => Err((attempt.lost(Code::AnswerLost), Outcome::Failed)),
    };
    (result, fresh)
}

async fn try_send(
    cx: &Cx,
    connection: &mut Connection,
    req: Request<Upload>,
) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
    let head_limit = (cx.left() / HEAD_PART).clamp(MIN_HEAD_LIMIT, MAX_HEAD_LIMIT);
    connection.send(req, cx.answer_by(), head_limit).await
}

/// Reads the answer and checks that it is this request's.
async fn receive(
    cx: &Cx,
    attempt: Attempt<Sent>,
    in_use: InUse,
    placed: Placement,
    answer: Response<Incoming>,
    sent_at: Instant,
) -> Result<Answered, Failure> {
    let (mut head, body) = answer.into_parts();
    let now = Instant::now();
    let load = head.headers.get(&cx.headers.server_load).and_then(|v| v.to_str().ok());
    if let Some(load) = load.and_then(parse_load) {
        placed.reported(now, load);
    }
    let keep = in_use.keep_for(&head.headers);
    let connection = in_use.connection;
    match judge(cx, &head, connection.reused) {
        Verdict::Answer => {}
        Verdict::Stray => {
            connection.note_unsolicited_data();
            return Err(failed(cx, placed, Outcome::Failed, attempt.lost(Code::AnswerMismatch)));
        }
        Verdict::Unmarked => {
            return Err(failed(cx, placed, Outcome::Failed, attempt.lost(Code::AnswerInvalid)));
        }
        Verdict::NotRun(code, outcome) => {
            // The head says all; the body may be long, or without end.
            if let Some(keep) = keep {
                connection.release_after_drain(body, keep);
            }
            return Err(failed(cx, placed, outcome, attempt.refused_by_server(code)));
        }
    }
    let held = match read(body, &cx.hold, cx.answer_by()).await {
        Ok(held) => held,
        Err(ReadFault::BrokenOff) => {
            return Err(failed(cx, placed, Outcome::Failed, attempt.lost(Code::AnswerLost)));
        }
        Err(ReadFault::TooLate) => {
            return Err(failed(cx, placed, Outcome::TimedOut, attempt.lost(Code::AnswerTimeout)));
        }
    };
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    let is_failure = head.status.is_server_error();
    let outcome = Outcome::Answered {
        status: head.status.as_u16(),
        latency: sent_at.elapsed(),
    };
    observe(cx, &placed, outcome);
    emit!(
        Event::RequestAnswered,
        request = cx.id,
        organisation = cx.org.as_ref().map_or("none", |org| org.name.as_str()),
        route = cx.route.name,
        object = cx.object_tag(),
        revision = cx.revision,
        server = placed.spec().name,
        warm = placed.holds_object(),
        forecast_ms = placed.forecast().as_millis(),
        status = head.status.as_u16(),
        after_ms = cx.elapsed_ms()
    );
    let body = match held {
        HeldBody::Whole(bytes) => {
            if let Some(keep) = keep {
                connection.release_for(keep);
            }
            placed.done(Instant::now(), outcome);
            ResponseBody::buffered(bytes)
        }
        HeldBody::Start(start, rest) => {
            let ending = Answering {
                connection,
                placed,
                outcome,
                keep_for: keep,
            };
            ResponseBody::streamed(start, rest, PIECE_TIMEOUT, cx.answer_by(), Box::new(ending))
        }
    };
    Ok(Answered {
        response: Response::from_parts(head, body),
        is_failure,
    })
}

/// Requests running and waiting, from `running,waiting,slots`.
fn parse_load(text: &str) -> Option<u32> {
    let mut parts = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(parts.next()?? + parts.next()??)
}

fn failed(cx: &Cx, placed: Placement, outcome: Outcome, failure: Failure) -> Failure {
    emit!(
        Event::AttemptFailed,
        request = cx.id,
        route = cx.route.name,
        object = cx.object_tag(),
        server = placed.spec().name,
        warm = placed.holds_object(),
        forecast_ms = placed.forecast().as_millis(),
        code = failure.code().number(),
        run = failure.run(),
        after_ms = cx.elapsed_ms()
    );
    // A server that cannot be reached or takes no requests tells nothing about its version.
    if failure.run() == Run::Unknown {
        observe(cx, &placed, outcome);
    }
    placed.done(Instant::now(), outcome);
    failure
}

/// Records how the request ended as evidence about a new version.
fn observe(cx: &Cx, placed: &Placement, outcome: Outcome) {
    let Some(shift) = &cx.shift else { return };
    let Some(canary) = &shift.canary else { return };
    let (fault, time_ratio) = match outcome {
        // A server that stops at the time it was given answers 504.
        Outcome::Answered { status: 504, .. } | Outcome::TimedOut => (Some(CanaryFault::TimedOut), None),
        Outcome::Answered { status, .. } if status >= 500 => (Some(CanaryFault::Error), None),
        Outcome::Answered { latency, .. } => {
            let forecast = placed.forecast().as_secs_f64().max(0.001);
            (None, Some(latency.as_secs_f64() / forecast))
        }
        Outcome::Failed => (Some(CanaryFault::Error), None),
        Outcome::Shed | Outcome::Closing | Outcome::Cancelled => return,
    };
    // A cold server is slow whatever version it runs.
    if placed.is_cold() {
        return;
    }
    canary.observe(
        &cx.route.name,
        CanarySample {
            is_new: placed.spec().version == shift.to,
            fault,
            time_ratio,
        },
    );
}
