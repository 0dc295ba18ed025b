use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use arcstr::ArcStr;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use mh_edge::{
    PipelineBounds, PipelineLoad, PoisonGate, Refusal, ResponseBody, admit_request, drain, may_run_concurrently,
    total_bytes,
};
use mh_poison::Fingerprint;
use mh_route::admission::MAX_RETURN_FRACTION;
use mh_types::{Code, Event, Run, VmName, emit};
use tokio::time::Instant;

use super::admission_gate::AdmissionGate;
use super::body::Body;
use super::counters::{Counters, RunningGuard, increment};
use super::forward::forward;
use super::head::{
    NOT_READY_RETRY_AFTER, allowed_regions, authorise, caller_deadline, find_route, not_run, object_hash,
    refusal_with_retry_after, requested_host,
};
use super::limit_gate::LimitGate;
use super::outgoing::forwarded_head;
use super::request_context::RequestContext;
use super::server_paths::{AnyDial, ServerPaths};
use super::usage_gate::UsageGate;
use crate::{Bounds, HeaderNames, HostRoute, LiveState, Plan, PlanOrg, QuotaPeers};
use mh_edge::BufferBudget;

/// `Retry-After` of refusals while this VM is shutting down; another VM can serve at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum memory of buffered bodies in bytes where the memory of the VM is not known.
const DEFAULT_BUFFER_BYTES: usize = 32 * 1024 * 1024;

/// Usual bytes of the heads of a request and its response, for the estimate of the link's use.
const HEAD_BYTES: u64 = 800;

/// Handler of callers' requests.
#[derive(Debug)]
pub struct Gateway {
    vm: VmName,
    headers: Arc<HeaderNames>,
    bounds: ArcSwap<Bounds>,
    live: Arc<ArcSwap<LiveState>>,
    counters: Arc<Counters>,
    buffer_budget: BufferBudget,
    /// Time at which the process exits; set when the VM starts to shut down.
    exits_at: OnceLock<Instant>,
    closed: AtomicBool,
    quota_peers: OnceLock<Arc<dyn QuotaPeers>>,
    limits: Arc<LimitGate>,
    poison: Arc<PoisonGate>,
    paths: Arc<ServerPaths>,
    pipeline_load: Arc<PipelineLoad>,
    usage: Arc<UsageGate>,
}

impl Gateway {
    /// Creates a gateway without a plan; it refuses every request until [`Gateway::publish`] is called.
    pub fn new(vm: VmName, headers: HeaderNames, bounds: Bounds) -> Self {
        let live: Arc<ArcSwap<LiveState>> = Arc::default();
        let counters: Arc<Counters> = Arc::default();
        let paths = Arc::new(ServerPaths::new(Arc::clone(&live), Arc::clone(&counters)));
        let poison = Arc::new(PoisonGate::new(vm.clone()));
        poison.set_dial(Arc::new(AnyDial(Arc::clone(&paths))));
        Self {
            limits: Arc::new(LimitGate::new(vm.clone())),
            poison,
            paths,
            pipeline_load: Arc::default(),
            usage: Arc::default(),
            vm,
            headers: Arc::new(headers),
            bounds: ArcSwap::from_pointee(bounds),
            live,
            counters,
            buffer_budget: BufferBudget::new(DEFAULT_BUFFER_BYTES),
            exits_at: OnceLock::new(),
            closed: AtomicBool::new(false),
            quota_peers: OnceLock::new(),
        }
    }

    /// Limits the memory of buffered request and answer bodies to `bytes`.
    #[must_use]
    pub fn with_buffer_limit(self, bytes: usize) -> Self {
        Self {
            buffer_budget: BufferBudget::new(bytes),
            ..self
        }
    }

    /// Sets the bounds on the requests that callers pipeline.
    #[must_use]
    pub fn with_pipeline_bounds(self, bounds: PipelineBounds) -> Self {
        Self {
            pipeline_load: Arc::new(PipelineLoad::new(bounds)),
            ..self
        }
    }

    /// Returns the pipelined requests of all connections.
    pub fn pipeline_load(&self) -> &Arc<PipelineLoad> {
        &self.pipeline_load
    }

    /// Returns the bytes reserved for buffered request and answer bodies.
    pub fn held_bytes(&self) -> usize {
        self.buffer_budget.reserved_bytes()
    }

    /// Sets the access to other VMs' shares of quotas.
    pub fn set_quota_peers(&self, peers: Arc<dyn QuotaPeers>) {
        // A second call has no effect.
        let _ = self.quota_peers.set(peers);
    }

    /// Returns the limits that servers state.
    pub fn limits(&self) -> &Arc<LimitGate> {
        &self.limits
    }

    /// Returns the requests that crash servers.
    pub fn poison(&self) -> &Arc<PoisonGate> {
        &self.poison
    }

    /// Returns the paths to backend servers.
    pub fn paths(&self) -> &Arc<ServerPaths> {
        &self.paths
    }

    /// Returns the counts for the usage reports.
    pub fn usage(&self) -> &Arc<UsageGate> {
        &self.usage
    }

    /// Returns the name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> Bounds {
        **self.bounds.load()
    }

    /// Replaces the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.store(Arc::new(bounds));
    }

    /// Returns the state that requests are served from.
    pub fn live(&self) -> Guard<Arc<LiveState>> {
        self.live.load()
    }

    /// Replaces the state that requests are served from.
    pub fn publish(&self, live: LiveState) {
        self.live.store(Arc::new(live));
    }

    /// Makes answers ask callers to close their connections. Requests are still served, unless they may last beyond
    /// `exits_at`, when the process exits.
    pub fn leave(&self, exits_at: Instant) {
        // A second call has no effect.
        let _ = self.exits_at.set(exits_at);
    }

    /// Returns whether the VM is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.exits_at.get().is_some()
    }

    /// Refuses new requests, so that running requests can finish.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Answers one request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        self.handle_at(req.map(Some), Instant::now()).await
    }

    /// Answers one request that arrived at `arrived`; it has no body if it was started before its turn.
    pub(crate) async fn handle_at(&self, req: Request<Option<Incoming>>, arrived: Instant) -> Response<ResponseBody> {
        let _running = RunningGuard::start(&self.counters.running);
        increment(&self.counters.requests);
        let received = req
            .body()
            .as_ref()
            .and_then(|body| body.size_hint().exact())
            .unwrap_or_default();
        let id_header = req.headers().get(&self.headers.request_id).cloned();
        let id_header = id_header.unwrap_or_else(random_request_id);
        let id = ArcStr::from(id_header.to_str().unwrap_or("unreadable"));
        let mut answer = match self.answer(req, &id, &id_header, arrived).await {
            Ok(answer) => {
                increment(&self.counters.served);
                answer
            }
            Err(refusal) => self.refuse(refusal, &id, &id_header, arrived),
        };
        if let Some(timings) = self.counters.timings() {
            timings.on_request_end(arrived.elapsed());
        }
        let sent = answer.body().size_hint().exact().unwrap_or_default();
        let bytes = received + sent + HEAD_BYTES;
        self.counters.caller_bytes.fetch_add(bytes, Ordering::Relaxed);
        if self.is_leaving() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Returns whether a request is known to be idempotent, so that it may run before the requests ahead of it on its
    /// connection are answered. None may while the VM is shutting down, as the connection closes.
    pub(super) fn may_start_ahead(&self, method: &Method, uri: &Uri, host: Option<&HeaderValue>) -> bool {
        if !may_run_concurrently(method) || self.is_leaving() || self.closed.load(Ordering::Acquire) {
            return false;
        }
        let live = self.live.load();
        let Some(plan) = live.plan.as_ref().filter(|_| live.ready) else {
            return false;
        };
        let route = requested_host(host, uri.host()).and_then(|host| plan.route(&host, uri.path()));
        route.is_some_and(|route| route.kind.may_repeat() && !route.targets.is_empty())
    }

    fn refuse(&self, refusal: Refusal, id: &str, id_header: &HeaderValue, arrived: Instant) -> Response<ResponseBody> {
        let (counter, event) = match refusal.run() {
            Run::NotRun => (&self.counters.refused, Event::RequestTurnedAway),
            Run::Unknown => (&self.counters.failed, Event::RequestFailed),
        };
        increment(counter);
        if let Some(timings) = self.counters.timings() {
            timings.on_refusal(refusal.code());
        }
        let retry_after = refusal.retry_after.filter(|_| refusal.run() == Run::NotRun);
        emit!(
            event,
            code = refusal.code().number(),
            run = refusal.run(),
            request = id,
            retry_after_ms = retry_after.unwrap_or_default().as_millis(),
            after_ms = arrived.elapsed().as_millis()
        );
        let mut answer = refusal.into_response(id);
        let headers = answer.headers_mut();
        headers.insert(self.headers.request_id.clone(), id_header.clone());
        headers.remove(RETRY_AFTER);
        // Callers parse fractions of a second; whole seconds would waste most of a short deadline.
        if let Some(wait) = retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        answer
    }

    async fn answer(
        &self,
        req: Request<Option<Incoming>>,
        id: &ArcStr,
        id_header: &HeaderValue,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (parts, incoming) = req.into_parts();
        let mut cx = match self.prepare(&parts, (id, id_header), arrived, incoming.is_none()).await {
            Ok(cx) => cx,
            Err(refusal) => {
                if let Some(incoming) = incoming {
                    drain(incoming);
                }
                return Err(refusal);
            }
        };
        let mut body = match incoming {
            None => Body::Buffered(Bytes::new()),
            Some(incoming) => {
                Body::read(
                    incoming,
                    cx.route.kind,
                    cx.max_body_bytes,
                    &self.buffer_budget,
                    cx.answer_by(),
                )
                .await?
            }
        };
        cx.fingerprint = fingerprint(&cx, &parts, &body);
        if let Some(Err(quarantined)) = cx.fingerprint.map(|fingerprint| self.poison.admit(&fingerprint)) {
            return Err(refusal_with_retry_after(
                Code::RequestQuarantined,
                quarantined.retry_after,
            ));
        }
        let head = forwarded_head(parts, &self.headers, cx.org.as_ref().map(|org| org.name.as_str()));
        let result = forward(&mut cx, &self.live, &head, &mut body, &self.counters).await;
        result.map_err(|mut refusal| {
            // The wait is limited to a fraction of the time that the caller has left.
            let max_wait = cx
                .deadline
                .saturating_duration_since(Instant::now())
                .mul_f64(MAX_RETURN_FRACTION);
            refusal.retry_after = refusal.retry_after.map(|wait| wait.min(max_wait));
            refusal
        })
    }

    /// Validates the head of a request and takes the request from its organisation's quota.
    async fn prepare(
        &self,
        parts: &Parts,
        id: (&ArcStr, &HeaderValue),
        arrived: Instant,
        is_ahead: bool,
    ) -> Result<RequestContext, Refusal> {
        if self.closed.load(Ordering::Acquire) {
            return Err(refusal_with_retry_after(Code::Leaving, LEAVING_RETRY_AFTER));
        }
        let live = self.live.load_full();
        let Some(plan) = live.plan.as_ref().filter(|_| live.ready) else {
            return Err(refusal_with_retry_after(Code::NotCurrent, NOT_READY_RETRY_AFTER));
        };
        if total_bytes(&parts.headers) > plan.limits.max_header_bytes {
            return Err(not_run(Code::HeadersTooLarge));
        }
        if parts.method == Method::CONNECT {
            return Err(not_run(Code::RequestInvalid));
        }
        let host = requested_host(parts.headers.get(HOST), parts.uri.host());
        let host = host.ok_or_else(|| not_run(Code::RequestInvalid))?;
        let route = Arc::clone(find_route(plan, &host, parts.uri.path())?);
        // The route may have changed since the request was started before its turn.
        if is_ahead && !route.kind.may_repeat() {
            return Err(refusal_with_retry_after(Code::NotCurrent, NOT_READY_RETRY_AFTER));
        }
        let org = authorise(plan, &route, &parts.headers, &self.headers)?;
        let deadline = caller_deadline(&parts.headers, &self.headers, arrived, &route)?;
        let mut cx = self.build_context(&live, plan, route, org, id, arrived)?;
        cx.deadline = deadline;
        // Another VM can serve the request whole.
        if self
            .exits_at
            .get()
            .is_some_and(|exits_at| cx.effective_deadline() > *exits_at)
        {
            return Err(refusal_with_retry_after(Code::Leaving, LEAVING_RETRY_AFTER));
        }
        cx.object = object_hash(&parts.headers, &self.headers).filter(|_| cx.route.sticky);
        self.take_quota(&live, &cx).await?;
        Ok(cx)
    }

    /// Takes one request from the organisation's quota, on this VM or on one that has some left.
    async fn take_quota(&self, live: &LiveState, cx: &RequestContext) -> Result<(), Refusal> {
        let Some(org) = &cx.org else { return Ok(()) };
        if org.rate_per_s <= 0.0 {
            return Ok(());
        }
        let limiter = live.quotas.get(&org.name);
        let limiter = limiter.ok_or_else(|| refusal_with_retry_after(Code::NotCurrent, NOT_READY_RETRY_AFTER))?;
        let asked_vms = AtomicU32::new(0);
        let peers = self.quota_peers.get();
        let ask = |vm: VmName| {
            asked_vms.fetch_add(1, Ordering::Relaxed);
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
                left_here =
                    limiter.meter().level_microtokens(Instant::now()) as f64 / mh_budget::MICROTOKENS_PER_TOKEN as f64,
                asked = asked_vms.load(Ordering::Relaxed)
            );
            refusal_with_retry_after(Code::RateExceeded, retry_after.unwrap_or(NOT_READY_RETRY_AFTER))
        })
    }

    fn build_context(
        &self,
        live: &LiveState,
        plan: &Plan,
        route: Arc<HostRoute>,
        org: Option<Arc<PlanOrg>>,
        (id, id_header): (&ArcStr, &HeaderValue),
        arrived: Instant,
    ) -> Result<RequestContext, Refusal> {
        let target = route.target(rand::random()).ok_or_else(|| not_run(Code::NoServer))?;
        let service = target.service.clone();
        let backends = live.backends.get(&service).map(Arc::clone);
        let work_times = live.work_times.get(&route.name).map(Arc::clone);
        let (Some(backends), Some(work_times)) = (backends, work_times) else {
            return Err(not_run(Code::NoServer));
        };
        let regions = allowed_regions(&route, org.as_deref())?;
        let admission = live.admissions.get(&service);
        let admission = admission.and_then(|admission| AdmissionGate::new(admission, &route.name, org.as_deref()));
        Ok(RequestContext {
            id: id.clone(),
            admission,
            id_header: id_header.clone(),
            arrived,
            deadline: arrived + route.timeout,
            route_deadline: arrived + route.timeout,
            revision: plan.revision,
            shift: live.shifts.get(&service).cloned(),
            backends,
            work_times,
            service,
            object: None,
            regions,
            max_body_bytes: plan.limits.max_body_bytes,
            buffer_budget: self.buffer_budget.clone(),
            limits: Arc::clone(&self.limits),
            poison: Arc::clone(&self.poison),
            paths: Arc::clone(&self.paths),
            usage: Arc::clone(&self.usage),
            fingerprint: None,
            headers: Arc::clone(&self.headers),
            route,
            org,
        })
    }
}

/// Computes what identifies requests with the same contents from the same caller; `None` if the body is passed on as it
/// arrives.
fn fingerprint(cx: &RequestContext, parts: &Parts, body: &Body) -> Option<Fingerprint> {
    let caller = cx.org.as_ref().map_or("", |org| org.name.as_str());
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    Some(Fingerprint::of(&[
        parts.method.as_str().as_bytes(),
        cx.route.host.as_bytes(),
        target.as_bytes(),
        caller.as_bytes(),
        &body.digest()?,
    ]))
}

fn random_request_id() -> HeaderValue {
    HeaderValue::from_str(&format!("{:032x}", rand::random::<u128>())).unwrap_or_else(|_| HeaderValue::from_static("0"))
}
