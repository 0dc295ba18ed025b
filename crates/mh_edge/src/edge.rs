mod ahead;
mod deferrable;
mod key_check;
mod operation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, Guard};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use mh_config::{Access, CompiledRoute, Execution};
use mh_fresh::FreshnessGate;
use mh_once::{Owner, TableLimits};
use mh_types::{Code, Event, OrgName, Run, VmName, emit};
use tokio::time::Instant;

use crate::admission::admit_request;
use crate::deadline::{Deadline, stated_deadline};
use crate::forward::{Forwarder, Payload};
use crate::headers::{REQUEST_ID_HEADER, total_bytes};
use crate::lookup::{LOOKUP_PATH, LookupResponse, requested_id_count};
use crate::operations::{EdgeLinks, MAX_ANSWERS_BYTES, Operations};
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::response_body::ResponseBody;
use crate::upload::{UploadProgress, read_body};
use crate::{BufferBudget, EdgeCfg, LiveState, PipelineLoad, PoisonGate};
use ahead::may_start_ahead;
use key_check::authorise;

/// Request counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests received on the caller port.
    pub requests: AtomicU64,
    /// Look-ups among the requests.
    pub lookups: AtomicU64,
    /// Requests refused by this VM itself.
    pub refused: AtomicU64,
    /// Requests currently in progress.
    pub running: AtomicU64,
}

/// Request handler of an entry VM: authorises, admits and forwards the requests of callers.
#[derive(Debug)]
pub struct Edge {
    vm: VmName,
    cfg: Arc<EdgeCfg>,
    live: ArcSwap<LiveState>,
    counters: Counters,
    operations: Operations,
    /// Memory for the parts of operations' answers beyond the first bytes.
    answer_budget: BufferBudget,
    freshness_gate: FreshnessGate,
    poison: Arc<PoisonGate>,
    pipeline_load: Arc<PipelineLoad>,
    links: OnceLock<Arc<dyn EdgeLinks>>,
}

/// Guard that counts a request as running until dropped.
struct RunningGuard<'a>(&'a AtomicU64);

impl<'a> RunningGuard<'a> {
    fn start(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Edge {
    /// Creates an edge without settings; it refuses every request until [`Edge::publish`] is called.
    pub fn new(owner: Owner, cfg: EdgeCfg) -> Self {
        let poison = Arc::new(PoisonGate::new(owner.vm().clone()));
        Self {
            vm: owner.vm().clone(),
            pipeline_load: Arc::new(PipelineLoad::new(cfg.pipelining)),
            cfg: Arc::new(cfg),
            live: ArcSwap::default(),
            counters: Counters::default(),
            operations: Operations::new(owner, TableLimits::default()),
            answer_budget: BufferBudget::new(MAX_ANSWERS_BYTES),
            freshness_gate: FreshnessGate::new(Instant::now()),
            poison,
            links: OnceLock::new(),
        }
    }

    /// Sets the connections to other VMs and to the platform's table; operations that need them are refused until then.
    pub fn set_links(&self, links: Arc<dyn EdgeLinks>) {
        // Only the first call has an effect.
        let _ = self.links.set(links);
    }

    /// Returns the gate that is open while this VM is known to have the current settings; keyed requests are refused
    /// while it is closed, unless [`EdgeCfg::refuse_when_not_current`] is off.
    pub fn freshness_gate(&self) -> &FreshnessGate {
        &self.freshness_gate
    }

    /// Returns the requests that crash servers.
    pub fn poison(&self) -> &Arc<PoisonGate> {
        &self.poison
    }

    /// Returns the at-most-once operations that this VM decides.
    pub fn operations(&self) -> &Operations {
        &self.operations
    }

    /// Returns the name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Returns the configured limits.
    pub fn cfg(&self) -> &EdgeCfg {
        &self.cfg
    }

    /// Returns the request counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the state that new requests use.
    pub fn live(&self) -> Guard<Arc<LiveState>> {
        self.live.load()
    }

    /// Replaces the state that new requests use.
    pub fn publish(&self, live: LiveState) {
        self.live.store(Arc::new(live));
    }

    /// Handles one request; errors become problem responses.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        self.handle_at(req.map(Some), Instant::now()).await
    }

    /// Handles one request that arrived at `arrived`; it has no body if it was started before its turn.
    pub(crate) async fn handle_at(&self, req: Request<Option<Incoming>>, arrived: Instant) -> Response<ResponseBody> {
        let _running = RunningGuard::start(&self.counters.running);
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let id = RequestId::random();
        let stated_deadline = stated_deadline(req.headers());
        let mut response = match self.respond(req, &id, arrived).await {
            Ok(response) => response,
            Err(refusal) => {
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
                emit!(
                    Event::RequestRefused,
                    code = refusal.code().number(),
                    run = refusal.run(),
                    request = id.as_str()
                );
                let left = stated_deadline.map(|stated| stated.saturating_sub(arrived.elapsed()));
                let refusal = match left {
                    Some(left) => refusal.for_caller_with(left),
                    None => refusal,
                };
                refusal.into_response(id.as_str())
            }
        };
        response.headers_mut().insert(REQUEST_ID_HEADER, id.to_header());
        response
    }

    async fn respond(
        &self,
        req: Request<Option<Incoming>>,
        id: &RequestId,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let not_run = |code| Refusal::new(code, Run::NotRun);
        let now = Instant::now();
        if req.headers().len() > self.cfg.max_headers || total_bytes(req.headers()) > self.cfg.max_header_bytes {
            return Err(not_run(Code::HeadersTooLarge));
        }
        let live = self.live.load_full();
        if req.uri().path() == LOOKUP_PATH && req.method() == Method::GET {
            self.counters.lookups.fetch_add(1, Ordering::Relaxed);
            return Ok(self.lookup(&live, now, requested_id_count(req.uri().query())));
        }
        if req.method() == Method::CONNECT || has_dot_segment(req.uri().path()) {
            return Err(not_run(Code::RequestInvalid));
        }
        let snapshot = &live.snapshot;
        let route = snapshot.routes.find(req.method().as_str(), req.uri().path());
        let route = Arc::clone(route.ok_or_else(|| not_run(Code::NoRoute))?);
        if route.access == Access::Keyed
            && self.cfg.refuse_when_not_current
            && !self.freshness_gate.is_open(Instant::now())
        {
            let alternatives = live
                .vms
                .iter()
                .filter(|vm| vm.vm != self.vm)
                .map(|vm| vm.addr.to_string());
            return Err(not_run(Code::NotCurrent).with_alternatives(alternatives.collect()));
        }
        let (parts, body) = req.into_parts();
        let req = Request::from_parts(parts, ());
        // The route may have changed since the request was started before its turn.
        if body.is_none() && !may_start_ahead(&route) {
            return Err(not_run(Code::NotCurrent));
        }
        let org = authorise(snapshot, &route, &req)?.map(|org| org.name.clone());
        let deadline = Deadline::read(arrived, req.headers(), route.deadline)?;
        let forwarder = self
            .build_forwarder(&live, Arc::clone(&route), id.clone(), deadline)
            .map_err(not_run)?;
        let forwarder = Forwarder {
            caller: org.clone(),
            ..forwarder
        };
        let Some(body) = body else {
            if let Some(org) = &org {
                self.admit(&live, org).await?;
            }
            let parts = req.into_parts().0;
            let key_checked_at = self.confirm_key(&route, &parts)?;
            let forwarder = Forwarder {
                key_checked_at,
                ..forwarder
            };
            let payload = Payload::Buffered(Bytes::new());
            return forwarder.run(Forwarder::backend_request_head(parts, id), payload).await;
        };
        let req = req.map(|()| body);
        if route.deferrable {
            return self.answer_deferrable(&live, forwarder, org, req).await;
        }
        if let Some(org) = &org {
            self.admit(&live, org).await?;
        }
        match route.execution {
            Execution::Idempotent => {
                let (parts, payload) = self.read_payload(req, &route, deadline).await?;
                let key_checked_at = self.confirm_key(&route, &parts)?;
                let forwarder = Forwarder {
                    key_checked_at,
                    ..forwarder
                };
                forwarder.run(Forwarder::backend_request_head(parts, id), payload).await
            }
            Execution::AtMostOnce => self.answer_operation(forwarder, org, req).await,
        }
    }

    fn build_forwarder(
        &self,
        live: &LiveState,
        route: Arc<CompiledRoute>,
        id: RequestId,
        deadline: Deadline,
    ) -> Result<Forwarder, Code> {
        let backends = Arc::clone(live.backends.get(&route.service).ok_or(Code::NoServer)?);
        let version_gate = live.version_gates.get(&route.service).map(Arc::clone);
        Ok(Forwarder {
            version_gate,
            cfg: Arc::clone(&self.cfg),
            route,
            backends,
            share: live.share,
            key_checked_at: None,
            id,
            deadline,
            poison: Arc::clone(&self.poison),
            answer_budget: self.answer_budget.clone(),
            caller: None,
            fingerprint: None,
        })
    }

    /// Takes one request from the organisation's rate limit, here or at another VM with tokens left.
    async fn admit(&self, live: &LiveState, org: &OrgName) -> Result<(), Refusal> {
        let refused = || Refusal::new(Code::RateExceeded, Run::NotRun);
        let limiter = live.limiters.get(org).ok_or_else(refused)?;
        let links = self.links.get();
        let ask = |vm: VmName| async move { links?.ask_token(&vm, org).await };
        let admitted = admit_request(limiter, ask).await;
        admitted.map_err(|retry_after| refused().with_retry_after(retry_after))
    }

    /// Buffers a small body in memory, so that the request can be retried; streams a larger one.
    async fn read_payload(
        &self,
        req: Request<Incoming>,
        route: &CompiledRoute,
        deadline: Deadline,
    ) -> Result<(Parts, Payload), Refusal> {
        let (parts, body) = req.into_parts();
        let exact = body.size_hint().exact();
        if exact.is_some_and(|bytes| bytes > route.max_body_bytes) {
            return Err(Refusal::new(Code::BodyTooLarge, Run::NotRun));
        }
        if exact.is_some_and(|bytes| bytes <= self.cfg.max_replay_bytes) {
            let bytes = read_body(body, route.max_body_bytes, self.cfg.body_timeout, deadline.instant()).await?;
            return Ok((parts, Payload::Buffered(bytes)));
        }
        Ok((parts, Payload::Streamed(body, UploadProgress::default())))
    }

    fn lookup(&self, live: &LiveState, now: Instant, operations: usize) -> Response<ResponseBody> {
        let lifetime_s = self.cfg.lookup_lifetime.as_secs();
        let ids = (0..operations).map(|_| self.operations.issue(now)).collect();
        let body = serde_json::to_vec(&LookupResponse::new(live, lifetime_s, ids)).unwrap_or_default();
        let mut response = Response::new(ResponseBody::buffered(body.into()));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // Each id is valid for one operation, so a response with ids must not be cached.
        let cache = if operations == 0 {
            format!("max-age={lifetime_s}")
        } else {
            "no-store".to_owned()
        };
        if let Ok(value) = HeaderValue::from_str(&cache) {
            headers.insert(CACHE_CONTROL, value);
        }
        response
    }
}

/// Returns whether a path has `.` or `..` segments, plain or percent-encoded, or a percent-encoded slash; a backend
/// server could resolve such a path to another route.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.replace("%2e", ".").replace("%2E", ".");
        plain == "." || plain == ".."
    }) || path.to_ascii_lowercase().contains("%2f")
}
