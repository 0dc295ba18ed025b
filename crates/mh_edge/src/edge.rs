mod deferrable;
mod key_check;
mod operation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, Guard};
use hyper::body::{Body, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use mh_config::{Access, CompiledRoute, Execution};
use mh_fresh::FreshnessGate;
use mh_once::{Owner, TableLimits};
use mh_types::{Code, Event, OrgName, Run, VmName, emit};
use tokio::time::Instant;

use crate::admission::take_one;
use crate::answer_body::AnswerBody;
use crate::deadline::Deadline;
use crate::forward::{Forward, Payload};
use crate::headers::{REQUEST_ID_HEADER, total_bytes};
use crate::lookup::{LOOKUP_PATH, LookupAnswer, wanted_ids};
use crate::operations::{EdgeLinks, Operations};
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::upload::{UploadProgress, hold};
use crate::{EdgeCfg, Live};
use key_check::authorise;

/// Requests counted since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that reached the caller port.
    pub requests: AtomicU64,
    /// Look-ups among them.
    pub lookups: AtomicU64,
    /// Requests refused by this VM.
    pub refused: AtomicU64,
    /// Requests running now.
    pub running: AtomicU64,
}

/// Answers the requests of callers.
#[derive(Debug)]
pub struct Edge {
    vm: VmName,
    cfg: Arc<EdgeCfg>,
    live: ArcSwap<Live>,
    counters: Counters,
    operations: Operations,
    gate: FreshnessGate,
    links: OnceLock<Arc<dyn EdgeLinks>>,
}

/// Counts a request as running until dropped.
struct Running<'a>(&'a AtomicU64);

impl<'a> Running<'a> {
    fn start(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Edge {
    /// An edge without settings; it refuses every request until [`Edge::publish`].
    pub fn new(owner: Owner, cfg: EdgeCfg) -> Self {
        Self {
            vm: owner.vm().clone(),
            cfg: Arc::new(cfg),
            live: ArcSwap::default(),
            counters: Counters::default(),
            operations: Operations::new(owner, TableLimits::default()),
            gate: FreshnessGate::new(Instant::now()),
            links: OnceLock::new(),
        }
    }

    /// Gives the way to the table and to other VMs; operations that need it are refused until then.
    pub fn connect(&self, links: Arc<dyn EdgeLinks>) {
        // A second call changes nothing.
        let _ = self.links.set(links);
    }

    /// Until when this VM is current with the settings; keyed requests are refused after that.
    pub fn gate(&self) -> &FreshnessGate {
        &self.gate
    }

    /// Operations that this VM decides.
    pub fn operations(&self) -> &Operations {
        &self.operations
    }

    /// Name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Limits in force.
    pub fn cfg(&self) -> &EdgeCfg {
        &self.cfg
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The state that requests read now.
    pub fn live(&self) -> Guard<Arc<Live>> {
        self.live.load()
    }

    /// Replaces the state that requests read.
    pub fn publish(&self, live: Live) {
        self.live.store(Arc::new(live));
    }

    /// Answers one request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let _running = Running::start(&self.counters.running);
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let id = RequestId::random();
        let mut answer = match self.answer(req, &id).await {
            Ok(answer) => answer,
            Err(refusal) => {
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
                emit!(
                    Event::RequestRefused,
                    code = refusal.code.number(),
                    run = refusal.run,
                    request = id.as_str()
                );
                refusal.into_response(id.as_str())
            }
        };
        answer.headers_mut().insert(REQUEST_ID_HEADER, id.to_header());
        answer
    }

    async fn answer(&self, req: Request<Incoming>, id: &RequestId) -> Result<Response<AnswerBody>, Refusal> {
        let not_run = |code| Refusal::new(code, Run::NotRun);
        let now = Instant::now();
        if req.headers().len() > self.cfg.max_headers || total_bytes(req.headers()) > self.cfg.max_header_bytes {
            return Err(not_run(Code::HeadersTooLarge));
        }
        let live = self.live.load_full();
        if req.uri().path() == LOOKUP_PATH && req.method() == Method::GET {
            self.counters.lookups.fetch_add(1, Ordering::Relaxed);
            return Ok(self.lookup(&live, now, wanted_ids(req.uri().query())));
        }
        if req.method() == Method::CONNECT || has_dot_segment(req.uri().path()) {
            return Err(not_run(Code::RequestInvalid));
        }
        let snapshot = &live.snapshot;
        let route = snapshot.routes.find(req.method().as_str(), req.uri().path());
        let route = Arc::clone(route.ok_or_else(|| not_run(Code::NoRoute))?);
        if route.access == Access::Keyed && self.cfg.refuse_when_not_current && !self.gate.is_open(Instant::now()) {
            let instead = live
                .vms
                .iter()
                .filter(|vm| vm.vm != self.vm)
                .map(|vm| vm.addr.to_string());
            return Err(Refusal {
                instead: instead.collect(),
                ..not_run(Code::NotCurrent)
            });
        }
        let org = authorise(snapshot, &route, &req)?.map(|org| org.name.clone());
        let deadline = Deadline::read(now, req.headers(), route.deadline)?;
        let forward = self
            .forward(&live, Arc::clone(&route), id.clone(), deadline)
            .map_err(not_run)?;
        if route.deferrable {
            return self.answer_deferrable(&live, forward, org, req).await;
        }
        if let Some(org) = &org {
            self.admit(&live, org).await?;
        }
        match route.execution {
            Execution::Idempotent => {
                let (parts, payload) = self.read(req, &route, deadline).await?;
                let key_checked_at = self.confirm_key(&route, &parts)?;
                let forward = Forward {
                    key_checked_at,
                    ..forward
                };
                forward.run(Forward::outgoing(parts, id), payload).await
            }
            Execution::AtMostOnce => self.answer_operation(forward, org, req).await,
        }
    }

    fn forward(
        &self,
        live: &Live,
        route: Arc<CompiledRoute>,
        id: RequestId,
        deadline: Deadline,
    ) -> Result<Forward, Code> {
        let backends = Arc::clone(live.backends.get(&route.service).ok_or(Code::NoServer)?);
        let gate = live.gates.get(&route.service).map(Arc::clone);
        Ok(Forward {
            gate,
            cfg: Arc::clone(&self.cfg),
            route,
            backends,
            share: live.share,
            key_checked_at: None,
            id,
            deadline,
        })
    }

    /// Takes one request from the organisation's allowance, here or at the VM that has some left.
    async fn admit(&self, live: &Live, org: &OrgName) -> Result<(), Refusal> {
        let refused = || Refusal::new(Code::RateExceeded, Run::NotRun);
        let limiter = live.limiters.get(org).ok_or_else(refused)?;
        let links = self.links.get();
        let ask = |vm: VmName| async move { links?.ask_token(&vm, org).await };
        take_one(limiter, ask).await.map_err(|retry_after| Refusal {
            retry_after,
            ..refused()
        })
    }

    /// Holds a small body in memory, so that the request can be sent again.
    async fn read(
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
            let bytes = hold(body, route.max_body_bytes, self.cfg.body_timeout, deadline.instant()).await?;
            return Ok((parts, Payload::Held(bytes)));
        }
        Ok((parts, Payload::Passed(body, UploadProgress::default())))
    }

    fn lookup(&self, live: &Live, now: Instant, operations: usize) -> Response<AnswerBody> {
        let lifetime_s = self.cfg.lookup_lifetime.as_secs();
        let ids = (0..operations).map(|_| self.operations.issue(now)).collect();
        let body = serde_json::to_vec(&LookupAnswer::new(live, lifetime_s, ids)).unwrap_or_default();
        let mut answer = Response::new(AnswerBody::whole(body.into()));
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // Ids are for one operation each, so an answer with ids must not be shared.
        let cache = if operations == 0 {
            format!("max-age={lifetime_s}")
        } else {
            "no-store".to_owned()
        };
        if let Ok(value) = HeaderValue::from_str(&cache) {
            headers.insert(CACHE_CONTROL, value);
        }
        answer
    }
}

/// Whether a path has `.` or `..` segments, also percent-encoded; a backend server could resolve them to another route.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.replace("%2e", ".").replace("%2E", ".");
        plain == "." || plain == ".."
    }) || path.to_ascii_lowercase().contains("%2f")
}
