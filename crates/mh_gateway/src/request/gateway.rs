use std::hash::Hasher;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use arcstr::ArcStr;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response};
use mh_edge::{Refusal, ResponseBody, admit_request, drain, total_bytes};
use mh_types::{Code, Event, Run, VmName, emit};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::body::Body;
use super::counters::{Counters, Running, add};
use super::cx::Cx;
use super::forward::forward;
use super::hold_budget::HoldBudget;
use super::outgoing::head;
use crate::{Bounds, HeaderNames, HostRoute, Live, Plan, PlanOrg, QuotaPeers};

/// Wait that a caller is asked for while this VM is not ready.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

/// Wait that a caller is asked for by a VM that is shutting down; another VM can serve at once.
const LEAVING_WAIT: Duration = Duration::from_millis(50);

/// Part of a request's time left that a caller waits at most before it comes back; a longer wait would not be kept.
const MAX_WAIT_PART: f64 = 0.3;

/// Bytes of bodies that a VM holds at most where its memory is not known.
const DEFAULT_HOLD_BYTES: usize = 32 * 1024 * 1024;

/// Answers the requests of callers.
#[derive(Debug)]
pub struct Gateway {
    vm: VmName,
    headers: Arc<HeaderNames>,
    bounds: ArcSwap<Bounds>,
    live: ArcSwap<Live>,
    counters: Counters,
    hold: HoldBudget,
    leaving: AtomicBool,
    closed: AtomicBool,
    peers: OnceLock<Arc<dyn QuotaPeers>>,
}

impl Gateway {
    /// A gateway without a plan; it refuses every request until [`Gateway::publish`].
    pub fn new(vm: VmName, headers: HeaderNames, bounds: Bounds) -> Self {
        Self {
            vm,
            headers: Arc::new(headers),
            bounds: ArcSwap::from_pointee(bounds),
            live: ArcSwap::default(),
            counters: Counters::default(),
            hold: HoldBudget::new(DEFAULT_HOLD_BYTES),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            peers: OnceLock::new(),
        }
    }

    /// The same gateway, which holds at most `bytes` of requests' and answers' bodies in memory.
    #[must_use]
    pub fn with_hold_bytes(self, bytes: usize) -> Self {
        Self {
            hold: HoldBudget::new(bytes),
            ..self
        }
    }

    /// Bytes of memory that bodies of requests and answers hold now.
    pub fn held_bytes(&self) -> usize {
        self.hold.held()
    }

    /// Gives the way to the other VMs' shares of quotas.
    pub fn connect(&self, peers: Arc<dyn QuotaPeers>) {
        // A second call changes nothing.
        let _ = self.peers.set(peers);
    }

    /// Name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The promises in force.
    pub fn bounds(&self) -> Bounds {
        **self.bounds.load()
    }

    /// Replaces the promises.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.store(Arc::new(bounds));
    }

    /// The state that requests read now.
    pub fn live(&self) -> Guard<Arc<Live>> {
        self.live.load()
    }

    /// Replaces the state that requests read.
    pub fn publish(&self, live: Live) {
        self.live.store(Arc::new(live));
    }

    /// Tells callers to use other VMs; requests are still served.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether the VM is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Refuses new requests, so that those that run can end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Answers one request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let _running = Running::start(&self.counters.running);
        add(&self.counters.requests);
        let arrived = Instant::now();
        let id_header = req.headers().get(&self.headers.request_id).cloned();
        let id_header = id_header.unwrap_or_else(random_id);
        let id = ArcStr::from(id_header.to_str().unwrap_or("unreadable"));
        let mut answer = match self.answer(req, &id, &id_header, arrived).await {
            Ok(answer) => {
                add(&self.counters.served);
                answer
            }
            Err(refusal) => self.refuse(refusal, &id, &id_header, arrived),
        };
        if let Some(timings) = self.counters.timings() {
            timings.on_end(arrived.elapsed());
        }
        if self.is_leaving() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    fn refuse(&self, refusal: Refusal, id: &str, id_header: &HeaderValue, arrived: Instant) -> Response<ResponseBody> {
        let (counter, event) = match refusal.run {
            Run::NotRun => (&self.counters.refused, Event::RequestTurnedAway),
            Run::Unknown => (&self.counters.failed, Event::RequestFailed),
        };
        add(counter);
        if let Some(timings) = self.counters.timings() {
            timings.on_refusal(refusal.code);
        }
        let retry_after = refusal.retry_after.filter(|_| refusal.run == Run::NotRun);
        emit!(
            event,
            code = refusal.code.number(),
            run = refusal.run,
            request = id,
            retry_after_ms = retry_after.unwrap_or_default().as_millis(),
            after_ms = arrived.elapsed().as_millis()
        );
        let mut answer = refusal.into_response(id);
        let headers = answer.headers_mut();
        headers.insert(self.headers.request_id.clone(), id_header.clone());
        headers.remove(RETRY_AFTER);
        // Callers read fractions of a second; whole seconds would waste most of a short deadline.
        if let Some(wait) = retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        answer
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        id: &ArcStr,
        id_header: &HeaderValue,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (parts, incoming) = req.into_parts();
        let mut cx = match self.admitted(&parts, (id, id_header), arrived).await {
            Ok(cx) => cx,
            Err(refusal) => {
                drain(incoming);
                return Err(refusal);
            }
        };
        let mut body = Body::read(incoming, cx.route.kind, cx.max_body_bytes, &self.hold, cx.answer_by()).await?;
        let head = head(parts, &self.headers, cx.org.as_ref().map(|org| org.name.as_str()));
        let result = forward(&mut cx, &self.live, &head, &mut body, &self.counters).await;
        result.map_err(|mut refusal| {
            // A caller does not wait longer than a part of the time that it has left.
            let longest = cx
                .deadline
                .saturating_duration_since(Instant::now())
                .mul_f64(MAX_WAIT_PART);
            refusal.retry_after = refusal.retry_after.map(|wait| wait.min(longest));
            refusal
        })
    }

    /// Checks what the head of a request tells, and takes the request from its organisation's quota.
    async fn admitted(&self, parts: &Parts, id: (&ArcStr, &HeaderValue), arrived: Instant) -> Result<Cx, Refusal> {
        if self.closed.load(Ordering::Acquire) {
            return Err(refusal_with_wait(Code::Leaving, LEAVING_WAIT));
        }
        let live = self.live.load_full();
        let Some(plan) = live.plan.as_ref().filter(|_| live.ready) else {
            return Err(refusal_with_wait(Code::NotCurrent, NOT_READY_WAIT));
        };
        if total_bytes(&parts.headers) > plan.limits.max_header_bytes {
            return Err(not_run(Code::HeadersTooLarge));
        }
        if parts.method == Method::CONNECT {
            return Err(not_run(Code::RequestInvalid));
        }
        let host = host_of(&parts.headers, parts.uri.host()).ok_or_else(|| not_run(Code::RequestInvalid))?;
        let route = Arc::clone(route_of(plan, &host, parts.uri.path())?);
        let org = authorise(plan, &route, &parts.headers, &self.headers)?;
        let deadline = deadline(&parts.headers, &self.headers, arrived, &route)?;
        let mut cx = self.context(&live, plan, route, org, id, arrived)?;
        cx.deadline = deadline;
        cx.object = object_of(&parts.headers, &self.headers).filter(|_| cx.route.sticky);
        self.admit(&live, &cx).await?;
        Ok(cx)
    }

    /// Takes one request from the organisation's quota, here or at a VM that has some left.
    async fn admit(&self, live: &Live, cx: &Cx) -> Result<(), Refusal> {
        let Some(org) = &cx.org else { return Ok(()) };
        if org.rate_per_s <= 0.0 {
            return Ok(());
        }
        let limiter = live.quotas.get(&org.name);
        let limiter = limiter.ok_or_else(|| refusal_with_wait(Code::NotCurrent, NOT_READY_WAIT))?;
        let asked = AtomicU32::new(0);
        let peers = self.peers.get();
        let ask = |vm: VmName| {
            asked.fetch_add(1, Ordering::Relaxed);
            async move { peers?.ask(&vm, &org.name).await }
        };
        admit_request(limiter, ask).await.map_err(|retry_after| {
            emit!(
                Event::QuotaRefused,
                request = cx.id,
                organisation = org.name,
                rate_per_s = org.rate_per_s,
                burst = org.burst,
                revision = cx.revision,
                left_here = limiter.meter().level_micros(Instant::now()) as f64 / mh_budget::MICROS_PER_TOKEN as f64,
                asked = asked.load(Ordering::Relaxed)
            );
            refusal_with_wait(Code::RateExceeded, retry_after.unwrap_or(NOT_READY_WAIT))
        })
    }

    fn context(
        &self,
        live: &Live,
        plan: &Plan,
        route: Arc<HostRoute>,
        org: Option<Arc<PlanOrg>>,
        (id, id_header): (&ArcStr, &HeaderValue),
        arrived: Instant,
    ) -> Result<Cx, Refusal> {
        let target = route.target(rand::random()).ok_or_else(|| not_run(Code::NoServer))?;
        let service = target.service.clone();
        let backends = live.backends.get(&service).map(Arc::clone);
        let work = live.work.get(&route.name).map(Arc::clone);
        let (Some(backends), Some(work)) = (backends, work) else {
            return Err(not_run(Code::NoServer));
        };
        let regions = regions(&route, org.as_deref())?;
        Ok(Cx {
            id: id.clone(),
            id_header: id_header.clone(),
            arrived,
            deadline: arrived + route.timeout,
            timeout: arrived + route.timeout,
            revision: plan.revision,
            shift: live.shifts.get(&service).cloned(),
            backends,
            work,
            service,
            object: None,
            regions,
            max_body_bytes: plan.limits.max_body_bytes,
            hold: self.hold.clone(),
            headers: Arc::clone(&self.headers),
            route,
            org,
        })
    }
}

fn not_run(code: Code) -> Refusal {
    Refusal::new(code, Run::NotRun)
}

fn refusal_with_wait(code: Code, wait: Duration) -> Refusal {
    Refusal {
        retry_after: Some(wait),
        ..not_run(code)
    }
}

fn random_id() -> HeaderValue {
    HeaderValue::from_str(&format!("{:032x}", rand::random::<u128>())).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// The host that a request asks for, without a port, in lower case.
fn host_of(headers: &HeaderMap, uri_host: Option<&str>) -> Option<String> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = uri_host.or(header)?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}

/// The route of a request; a refusal where it is, or may be, one that cannot be read.
fn route_of<'a>(plan: &'a Plan, host: &str, path: &str) -> Result<&'a Arc<HostRoute>, Refusal> {
    match plan.route(host, path) {
        Some(route) if !route.targets.is_empty() => Ok(route),
        None if !plan.unreadable.routes => Err(not_run(Code::NoRoute)),
        _ => Err(refusal_with_wait(Code::PartUnreadable, NOT_READY_WAIT)),
    }
}

/// The organisation that a request runs for. Open routes need no key; a known one still names its holder.
fn authorise(
    plan: &Plan,
    route: &HostRoute,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Result<Option<Arc<PlanOrg>>, Refusal> {
    let key = headers.get(&names.key).and_then(|value| value.to_str().ok());
    let org = key.and_then(|key| plan.org_of_key(key));
    match (org, key) {
        (Some(org), _) => Ok(Some(Arc::clone(org))),
        (None, _) if route.open || !plan.has_keys() => Ok(None),
        (None, Some(key)) if plan.unreadable.may_hold(key) => {
            Err(refusal_with_wait(Code::PartUnreadable, NOT_READY_WAIT))
        }
        (None, Some(_)) => Err(not_run(Code::KeyUnknown)),
        (None, None) => Err(not_run(Code::KeyMissing)),
    }
}

/// When the caller stops waiting; without a header it waits as long as the route allows.
fn deadline(headers: &HeaderMap, names: &HeaderNames, arrived: Instant, route: &HostRoute) -> Result<Instant, Refusal> {
    let Some(value) = headers.get(&names.deadline_ms) else {
        return Ok(arrived + route.timeout);
    };
    let ms: Option<u64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let ms = ms.ok_or_else(|| not_run(Code::DeadlineInvalid))?;
    // An hour is longer than any caller waits and cannot overflow the clock.
    Ok(arrived + Duration::from_millis(ms.min(3_600_000)))
}

fn object_of(headers: &HeaderMap, names: &HeaderNames) -> Option<u64> {
    let value = headers.get(&names.object)?;
    let mut hasher = SipHasher13::new();
    hasher.write(value.as_bytes());
    Some(hasher.finish())
}

/// Regions that both the route and the organisation allow; empty for all.
fn regions(route: &HostRoute, org: Option<&PlanOrg>) -> Result<SmallVec<[mh_types::RegionName; 4]>, Refusal> {
    let of_org = org.map_or(&[][..], |org| &org.regions);
    let both: SmallVec<[mh_types::RegionName; 4]> = match (route.regions.is_empty(), of_org.is_empty()) {
        (_, true) => route.regions.iter().cloned().collect(),
        (true, false) => of_org.iter().cloned().collect(),
        (false, false) => route.regions.iter().filter(|r| of_org.contains(r)).cloned().collect(),
    };
    if both.is_empty() && !(route.regions.is_empty() && of_org.is_empty()) {
        return Err(not_run(Code::NoServer));
    }
    Ok(both)
}
