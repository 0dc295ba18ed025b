use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::Response;
use hyper::http::request::Parts;
use mh_edge::{Refusal, ResponseBody};
use mh_route::objects::{ObjectRequest, Placement, PlacementError, VersionFilter};
use mh_types::{Code, Event, Run, ServerName, emit};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::admission_gate::AdmissionGate;
use super::body::Body;
use super::counters::{Counters, increment};
use super::exchange::{ServerAnswer, exchange};
use super::not_placed::NotPlaced;
use super::request_context::RequestContext;
use crate::{LiveState, ShiftPhase};

/// Unreachable servers that may be tried per request; each takes up to the connect timeout.
const MAX_UNREACHABLE_SERVERS: usize = 3;

/// Servers per request that may turn out to be full by a limit that they stated; each may take a round trip to another
/// VM.
const MAX_FULL_SERVERS: usize = 8;

/// `Retry-After` of refusals while this VM reaches no server.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Results of the earlier attempts at one request.
#[derive(Default)]
struct AttemptHistory {
    /// Servers that were chosen, including those that could not be reached.
    tried: SmallVec<[ServerName; 4]>,
    /// Servers whose stated limit is used up.
    full: SmallVec<[ServerName; 4]>,
    /// Number of servers that the request was sent to.
    sent: u32,
    /// Whether any attempt may have run, so that the request can no longer end as not run.
    may_have_run: bool,
    /// Code of the last failure.
    last: Option<Code>,
    /// Error answer of a server, passed on if no later attempt succeeds.
    answer: Option<Response<ResponseBody>>,
}

/// Sends a request to backend servers until one answers or no further attempt is allowed.
pub(super) async fn forward(
    cx: &mut RequestContext,
    live: &ArcSwap<LiveState>,
    head: &Parts,
    body: &mut Body,
    counters: &Counters,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut history = AttemptHistory::default();
    cx.backends.retries.on_request();
    loop {
        cx.refresh(&live.load());
        let placement = choose_admitted_server(cx, &history, counters);
        if history.tried.is_empty() && history.full.is_empty() {
            let work = placement
                .as_ref()
                .map_or_else(|_| cx.work_times.with_object(), Placement::work);
            cx.backends.demand.record(work);
        }
        let placement = match placement {
            Ok(placement) => placement,
            Err(not_placed) => {
                // The failure of an earlier attempt is more specific.
                history.last = history.last.or(not_placed.map(NotPlaced::code));
                return history.finish(cx, not_placed);
            }
        };
        if let Err(left) = cx.limits.admit(&placement).await {
            increment(&counters.full);
            history.on_full(cx, placement, left);
            if history.full.len() >= MAX_FULL_SERVERS {
                history.last = history.last.or(Some(Code::NoCapacity));
                let full = PlacementError::NoCapacity { retry_after: left };
                return history.finish(cx, Some(NotPlaced::until(cx.time().room_in(full))));
            }
            continue;
        }
        if history.sent > 0 {
            increment(&counters.retries);
        }
        history.tried.push(placement.spec().name.clone());
        match exchange(cx, head, body, placement, counters).await {
            Ok(ServerAnswer { response, is_failure }) => {
                if !is_failure || !cx.route.kind.may_repeat() {
                    return Ok(response);
                }
                history.sent += 1;
                history.last = Some(Code::AnswerInvalid);
                history.answer.get_or_insert(response);
            }
            Err(failure) => {
                history.last = Some(failure.code());
                let unreachable = failure.run() == Run::NotRun && failure.code() == Code::ConnectFailed;
                history.sent += u32::from(!unreachable);
                history.may_have_run |= failure.run() == Run::Unknown;
                if failure.code() == Code::NoPath {
                    return history.finish(cx, None);
                }
            }
        }
        if let Some(code) = body.caller_fault() {
            history.last = Some(code);
            return history.finish(cx, None);
        }
        if !may_try_another(cx, &history, body) {
            return history.finish(cx, None);
        }
    }
}

/// Returns whether the request may be sent to one more server.
fn may_try_another(cx: &RequestContext, history: &AttemptHistory, body: &Body) -> bool {
    let is_repeatable = cx.route.kind.may_repeat() || !history.may_have_run;
    let unreachable = history.tried.len() - history.sent as usize;
    let allowed = is_repeatable
        && cx.may_retry()
        && body.is_sendable()
        && history.sent < cx.route.max_attempts.max(1)
        && unreachable < MAX_UNREACHABLE_SERVERS
        && !cx.remaining().is_zero();
    // Only a request that reached a server uses the retry budget; connecting to another server is not a retry.
    allowed && (history.sent == 0 || cx.backends.retries.try_retry(Instant::now(), true))
}

/// Chooses the next server; a request may be refused for more urgent ones unless it may have run, since its caller could
/// then not be told to send it again. The error is `None` if no time remains.
fn choose_admitted_server(
    cx: &RequestContext,
    history: &AttemptHistory,
    counters: &Counters,
) -> Result<Placement, Option<NotPlaced>> {
    let chosen = choose_server(cx, history);
    let may_have_run = history.may_have_run || history.answer.is_some();
    let admission = cx.admission.as_ref().filter(|_| !may_have_run);
    let time = cx.time();
    let placement = match chosen {
        Ok(placement) => placement,
        Err(None) => return Err(None),
        Err(Some(PlacementError::Unavailable)) => return Err(Some(NotPlaced::Unavailable)),
        Err(Some(error)) => {
            let room_in = time.room_in(error);
            let room_in = admission.map_or(room_in, |admission| admission.on_not_placed(room_in, time));
            return Err(Some(NotPlaced::until(room_in)));
        }
    };
    let Some(Err(gives_way)) = admission.map(|admission| admission.judge(&placement, time)) else {
        return Ok(placement);
    };
    increment(&counters.yielded);
    emit!(
        Event::AdmissionRefused,
        request = cx.id,
        route = cx.route.name,
        service = cx.service,
        server = placement.spec().name,
        wait_ms = placement.wait().as_millis(),
        forecast_ms = placement.forecast().as_millis(),
        left_ms = time.remaining.as_millis(),
        retry_after_ms = gives_way.retry_after.unwrap_or_default().as_millis()
    );
    Err(Some(NotPlaced::until(gives_way.retry_after)))
}

/// Chooses the next server; the error is `None` if no time remains.
fn choose_server(cx: &RequestContext, history: &AttemptHistory) -> Result<Placement, Option<PlacementError>> {
    let left = cx.remaining();
    if left.is_zero() {
        return Err(None);
    }
    let excluded: SmallVec<[ServerName; 8]> = history.tried.iter().chain(&history.full).cloned().collect();
    let object_request = ObjectRequest {
        object: cx.object,
        remaining: left,
        regions: &cx.regions,
        versions: VersionFilter::Any,
        exclude: &excluded,
        pack: false,
        level: cx.admission.as_ref().map(AdmissionGate::level),
        work_times: &cx.work_times,
    };
    let place = |versions| {
        let object_request = ObjectRequest {
            versions,
            ..object_request
        };
        cx.backends.pool.place(Instant::now(), &object_request, rand::random())
    };
    // Many faulty versions fail only under load. Packing the few exposed requests onto as few servers as possible
    // produces that load.
    let expose = |to| {
        let object_request = ObjectRequest {
            versions: VersionFilter::Only(to),
            pack: true,
            ..object_request
        };
        cx.backends.pool.place(Instant::now(), &object_request, rand::random())
    };
    let placement = match &cx.shift {
        None => place(VersionFilter::Any),
        Some(shift) => match shift.phase {
            ShiftPhase::Exposing => {
                let should_expose =
                    history.tried.is_empty() && shift.canary.as_ref().is_some_and(|canary| canary.try_take());
                let exposed = should_expose.then(|| expose(&shift.to).ok()).flatten();
                exposed.map_or_else(|| place(VersionFilter::Except(&shift.to)), Ok)
            }
            ShiftPhase::Switching => place(VersionFilter::Only(&shift.to)).or_else(|_| place(VersionFilter::Any)),
            ShiftPhase::Done => place(VersionFilter::Only(&shift.to)),
            ShiftPhase::TakenBack => place(VersionFilter::Except(&shift.to)),
        },
    };
    placement.map_err(Some)
}

impl AttemptHistory {
    /// Records that the limit of the chosen server admits no request for the time `left`.
    fn on_full(&mut self, cx: &RequestContext, placement: Placement, left: Duration) {
        emit!(
            Event::ServerFull,
            request = cx.id,
            server = placement.spec().name,
            room_in_ms = left.as_millis(),
            after_ms = cx.elapsed_ms()
        );
        self.full.push(placement.spec().name.clone());
        placement.full(Instant::now(), left);
    }

    /// Returns the final result when no more servers are tried.
    fn finish(self, cx: &RequestContext, not_placed: Option<NotPlaced>) -> Result<Response<ResponseBody>, Refusal> {
        if let Some(answer) = self.answer {
            return Ok(answer);
        }
        let code = self.last.unwrap_or(Code::DeadlinePassed);
        let refusal = if self.may_have_run {
            Refusal::new(code_if_may_have_run(code), Run::Unknown)
        } else if not_placed == Some(NotPlaced::TooLate)
            || (may_succeed_later(code) && cx.time().latest_return().is_zero())
        {
            Refusal::new(Code::NoTimeLeft, Run::NotRun)
        } else {
            let room_in = not_placed.and_then(NotPlaced::retry_after);
            let mut refusal = Refusal::new(code_if_not_run(code), Run::NotRun);
            // Another VM may reach the servers.
            let elsewhere = (code == Code::NoPath).then_some(NO_PATH_RETRY_AFTER);
            refusal.retry_after = room_in.or(elsewhere).or(refusal.retry_after);
            refusal
        };
        if let Some(not_placed) = not_placed {
            emit!(
                Event::NoServerChosen,
                request = cx.id,
                route = cx.route.name,
                object = cx.object_tag(),
                service = cx.service,
                revision = cx.revision,
                left_ms = cx.remaining().as_millis(),
                tried = self.tried.len(),
                code = not_placed.code().number(),
                room_in_ms = not_placed.retry_after().unwrap_or_default().as_millis()
            );
        }
        Err(refusal)
    }
}

/// Returns whether the reason for `code` may be gone when the caller returns, if it has time left.
fn may_succeed_later(code: Code) -> bool {
    code.is_temporary() || code == Code::DeadlinePassed
}

/// Maps a code to one for a request that may have run; its status must not promise that the request did not run.
fn code_if_may_have_run(code: Code) -> Code {
    match code {
        Code::AnswerTimeout | Code::DeadlinePassed => Code::AnswerTimeout,
        Code::AnswerMismatch | Code::AnswerInvalid => code,
        Code::RequestIncomplete => Code::ResultUnknown,
        _ => Code::AnswerLost,
    }
}

/// Maps a code to one for a request that did not run; its status says so, so that the caller may send it again.
fn code_if_not_run(code: Code) -> Code {
    match code {
        Code::NoServer
        | Code::NoPath
        | Code::NoTimeLeft
        | Code::NoCapacity
        | Code::ServerLeaving
        | Code::BodyTooLarge
        | Code::RequestIncomplete => code,
        _ => Code::NoServer,
    }
}
