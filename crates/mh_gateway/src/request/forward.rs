use arc_swap::ArcSwap;
use hyper::Response;
use hyper::http::request::Parts;
use mh_edge::{Refusal, ResponseBody};
use mh_route::objects::{ObjectRequest, Placement, PlacementError, VersionFilter};
use mh_types::{Code, Event, Run, ServerName, emit};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::body::Body;
use super::counters::{Counters, add};
use super::cx::Cx;
use super::exchange::{Answered, exchange};
use crate::{Live, ShiftPhase};

/// Servers that may be tried without reaching any of them; each costs up to the time limit of connecting.
const MAX_UNREACHED: usize = 3;

/// What earlier attempts at one request left behind.
#[derive(Default)]
struct History {
    tried: SmallVec<[ServerName; 4]>,
    /// Servers that the request was sent to.
    sent: u32,
    /// Some attempt may have run, so the request can no longer end as not run.
    may_have_run: bool,
    last: Option<Code>,
    /// A server's own failure, to be passed on if nothing better follows.
    answer: Option<Response<ResponseBody>>,
}

/// Sends a request to backend servers until one answers or nothing more is allowed.
pub(super) async fn forward(
    cx: &mut Cx,
    live: &ArcSwap<Live>,
    head: &Parts,
    body: &mut Body,
    counters: &Counters,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut history = History::default();
    cx.backends.retries.on_request();
    loop {
        cx.refresh(&live.load());
        let placed = match next(cx, &history) {
            Ok(placed) => placed,
            Err(refused) => {
                // A refusal for load before the first attempt is the reason itself; later the first failure tells more.
                if refused == Some(PlacementError::Unavailable) || history.last.is_none() {
                    history.last = history.last.or(refused.map(PlacementError::code));
                }
                return history.end(cx, refused);
            }
        };
        if history.sent > 0 {
            add(&counters.retries);
        }
        history.tried.push(placed.spec().name.clone());
        match exchange(cx, head, body, placed, counters).await {
            Ok(Answered { response, is_failure }) => {
                if !is_failure || !cx.route.kind.may_repeat() {
                    return Ok(response);
                }
                history.sent += 1;
                history.last = Some(Code::AnswerInvalid);
                history.answer.get_or_insert(response);
            }
            Err(failure) => {
                history.last = Some(failure.code());
                let unreached = failure.run() == Run::NotRun && failure.code() == Code::ConnectFailed;
                history.sent += u32::from(!unreached);
                history.may_have_run |= failure.run() == Run::Unknown;
            }
        }
        if let Some(code) = body.fault() {
            history.last = Some(code);
            return history.end(cx, None);
        }
        if !may_go_on(cx, &history, body) {
            return history.end(cx, None);
        }
    }
}

/// Whether the request may be sent to one more server.
fn may_go_on(cx: &Cx, history: &History, body: &Body) -> bool {
    let repeatable = cx.route.kind.may_repeat() || !history.may_have_run;
    let unreached = history.tried.len() - history.sent as usize;
    let allowed = repeatable
        && body.is_sendable()
        && history.sent < cx.route.max_attempts.max(1)
        && unreached < MAX_UNREACHED
        && !cx.left().is_zero();
    // Only a request that reached a server draws on the budget; connecting elsewhere is no repeat.
    allowed && (history.sent == 0 || cx.backends.retries.try_retry(Instant::now(), true))
}

/// Chooses the next server; `None` as the error when the time is over.
fn next(cx: &Cx, history: &History) -> Result<Placement, Option<PlacementError>> {
    let left = cx.left();
    if left.is_zero() {
        return Err(None);
    }
    let ask = ObjectRequest {
        object: cx.object,
        remaining: left,
        regions: &cx.regions,
        versions: VersionFilter::Any,
        exclude: &history.tried,
        pack: false,
        work_times: &cx.work,
    };
    let place = |versions| {
        let ask = ObjectRequest { versions, ..ask };
        cx.backends.pool.place(Instant::now(), &ask, rand::random())
    };
    // Many versions that fail do so only under load, which the few exposed requests make on as few servers as possible.
    let expose = |to| {
        let ask = ObjectRequest {
            versions: VersionFilter::Only(to),
            pack: true,
            ..ask
        };
        cx.backends.pool.place(Instant::now(), &ask, rand::random())
    };
    let placed = match &cx.shift {
        None => place(VersionFilter::Any),
        Some(shift) => match shift.phase {
            ShiftPhase::Exposing => {
                let exposes = history.tried.is_empty() && shift.canary.as_ref().is_some_and(|canary| canary.expose());
                let exposed = exposes.then(|| expose(&shift.to).ok()).flatten();
                exposed.map_or_else(|| place(VersionFilter::Except(&shift.to)), Ok)
            }
            ShiftPhase::Switching => place(VersionFilter::Only(&shift.to)).or_else(|_| place(VersionFilter::Any)),
            ShiftPhase::Done => place(VersionFilter::Only(&shift.to)),
            ShiftPhase::TakenBack => place(VersionFilter::Except(&shift.to)),
        },
    };
    placed.map_err(Some)
}

impl History {
    /// The final answer when no more servers are tried.
    fn end(self, cx: &Cx, refused: Option<PlacementError>) -> Result<Response<ResponseBody>, Refusal> {
        if let Some(answer) = self.answer {
            return Ok(answer);
        }
        let code = self.last.unwrap_or(Code::DeadlinePassed);
        let refusal = if self.may_have_run {
            Refusal::new(may_have_run(code), Run::Unknown)
        } else {
            let room_in = refused.and_then(PlacementError::retry_after);
            let mut refusal = Refusal::new(not_run(code), Run::NotRun);
            refusal.retry_after = room_in.or(refusal.retry_after);
            refusal
        };
        if let Some(refused) = refused {
            emit!(
                Event::NoServerChosen,
                request = cx.id,
                route = cx.route.name,
                object = cx.object_tag(),
                service = cx.service,
                revision = cx.revision,
                left_ms = cx.left().as_millis(),
                tried = self.tried.len(),
                code = refused.code().number(),
                room_in_ms = refused.retry_after().unwrap_or_default().as_millis()
            );
        }
        Err(refusal)
    }
}

/// The code of a request that may have run; its status must not promise that it did not.
fn may_have_run(code: Code) -> Code {
    match code {
        Code::AnswerTimeout | Code::DeadlinePassed => Code::AnswerTimeout,
        Code::AnswerMismatch | Code::AnswerInvalid | Code::RequestIncomplete => code,
        _ => Code::AnswerLost,
    }
}

/// The code of a request that did not run; its status says so, so that the caller may send it again.
fn not_run(code: Code) -> Code {
    match code {
        Code::NoServer | Code::NoCapacity | Code::ServerLeaving | Code::BodyTooLarge | Code::RequestIncomplete => code,
        _ => Code::NoServer,
    }
}
