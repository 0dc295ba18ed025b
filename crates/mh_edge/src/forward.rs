use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use mh_config::{CompiledRoute, Execution};
use mh_once::{Answer, Attempt, Ready};
use mh_poison::Fingerprint;
use mh_route::{Outcome, SlotFractions};
use mh_types::{Code, Event, OrgName, Run, ServerName, emit};
use siphasher::sip128::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::backends::{PickedServer, ServerRequirements};
use crate::connection_pool::{ANY_IDLE_TIME, Connection};
use crate::deadline::Deadline;
use crate::dial::DirectDial;
use crate::final_status::is_final_status;
use crate::headers::{DEADLINE_HEADER, REQUEST_ID_HEADER, bearer_key, strip_hop_by_hop, strip_private};
use crate::operations::{OperationRunner, read_answer};
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::response_body::ResponseBody;
use crate::upload::{Upload, UploadProgress};
use crate::version_gate::VersionPick;
use crate::{Backends, BufferBudget, EdgeCfg, PoisonGate, VersionGate};

/// Longest time from the first byte of a response head to its end; a typical head fits into one packet.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Servers that were tried for one request.
type TriedServers = SmallVec<[ServerName; 4]>;

/// A request body before it is sent.
#[derive(Debug)]
pub(crate) enum Payload {
    /// In memory; it can be sent again.
    Buffered(Bytes),
    /// Streamed as it arrives; it can be sent only once.
    Streamed(Incoming, UploadProgress),
}

/// Forwards one request to a backend server of its service.
#[derive(Clone, Debug)]
pub(crate) struct Forwarder {
    pub(crate) cfg: Arc<EdgeCfg>,
    pub(crate) route: Arc<CompiledRoute>,
    pub(crate) backends: Arc<Backends>,
    pub(crate) share: SlotFractions,
    /// Time of the last key check; `None` without a key or if outdated settings are acceptable.
    pub(crate) key_checked_at: Option<Instant>,
    pub(crate) version_gate: Option<Arc<VersionGate>>,
    pub(crate) id: RequestId,
    pub(crate) deadline: Deadline,
    pub(crate) poison: Arc<PoisonGate>,
    pub(crate) answer_budget: BufferBudget,
    /// Organisation that the request is made for; `None` on an open route.
    pub(crate) caller: Option<OrgName>,
    /// Identifies requests with the same contents; `None` if the body is not known before it is sent.
    pub(crate) fingerprint: Option<Fingerprint>,
}

/// Failure of one attempt to forward a request.
struct Failure {
    code: Code,
    run: Run,
}

/// Forwards an operation to a backend server at most once.
#[derive(Debug)]
pub(crate) struct OperationForwarder {
    pub(crate) forwarder: Forwarder,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

impl OperationRunner for OperationForwarder {
    async fn run(self, attempt: Attempt<Ready>) -> Result<Arc<Answer>, Refusal> {
        let Self {
            mut forwarder,
            parts,
            body,
        } = self;
        if forwarder.check_quarantine(&parts, Some(&body)).is_err() {
            return Err(abandon(attempt, Code::RequestQuarantined));
        }
        let forwarder = &forwarder;
        let mut tried = TriedServers::new();
        // Only connecting is retried, because no part of the operation has been sent at that point.
        let (picked, connection) = loop {
            let picked = match forwarder.pick(&tried) {
                Ok(picked) => picked,
                Err(code) => return Err(abandon(attempt, code)),
            };
            tried.push(picked.name().clone());
            // The server may close an idle connection during the send, which is indistinguishable from a connection
            // loss after the operation ran. A new connection costs one round trip and avoids this ambiguity.
            match picked
                .connections()
                .open(&DirectDial, forwarder.connect_timeout())
                .await
            {
                Ok(connection) => break (picked, connection),
                Err(code) if forwarder.is_last(&tried) => {
                    let failure = forwarder.fail(picked, Outcome::Failed, Failure { code, run: Run::NotRun });
                    return Err(abandon(attempt, failure.code));
                }
                Err(code) => drop(forwarder.fail(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
            }
        };
        if forwarder.deadline.left(Instant::now()).is_zero() {
            return Err(abandon(attempt, Code::DeadlinePassed));
        }
        if forwarder.is_key_check_stale() {
            return Err(abandon(attempt, Code::NotCurrent));
        }
        let attempt = attempt.send();
        let response = forwarder
            .exchange(picked, connection, &parts, Upload::buffered(body.clone()))
            .await;
        let whole = match response {
            Ok(response) => tokio::time::timeout_at(
                forwarder.deadline.instant(),
                read_answer(response, &forwarder.answer_budget),
            )
            .await
            .unwrap_or(Err(Code::AnswerTimeout)),
            Err(failure) => Err(failure.code),
        };
        match whole {
            Ok(response) => Ok(attempt.finish(Instant::now(), response)),
            Err(code) => {
                attempt.unknown(Instant::now());
                Err(Refusal::new(code, Run::Unknown))
            }
        }
    }
}

fn abandon(attempt: Attempt<Ready>, code: Code) -> Refusal {
    let (code, run) = attempt.abandon().refusal(code);
    Refusal::new(code, run)
}

impl Forwarder {
    /// Forwards an idempotent request and retries on other servers after a failure.
    pub(crate) async fn run(mut self, parts: Parts, mut payload: Payload) -> Result<Response<ResponseBody>, Refusal> {
        let body = match &payload {
            Payload::Buffered(bytes) => Some(bytes),
            Payload::Streamed(..) => None,
        };
        self.check_quarantine(&parts, body)?;
        let mut tried = TriedServers::new();
        let mut last = Failure {
            code: Code::NoServer,
            run: Run::NotRun,
        };
        self.backends.retries().on_request();
        while !self.is_last(&tried) {
            if !tried.is_empty()
                && self
                    .fingerprint
                    .is_some_and(|fingerprint| !self.poison.may_retry(&fingerprint))
            {
                break;
            }
            if !tried.is_empty() && !self.backends.retries().try_retry(Instant::now(), true) {
                break;
            }
            if self.deadline.left(Instant::now()).is_zero() {
                if tried.is_empty() {
                    last.code = Code::DeadlinePassed;
                }
                break;
            }
            let picked = match self.pick(&tried) {
                Ok(picked) => picked,
                Err(code) => {
                    if code == Code::NoCapacity {
                        self.backends.retries().on_no_capacity(Instant::now());
                    }
                    if tried.is_empty() {
                        last.code = code;
                    }
                    break;
                }
            };
            tried.push(picked.name().clone());
            let (upload, retained) = match payload {
                Payload::Buffered(bytes) => (Upload::buffered(bytes.clone()), bytes),
                Payload::Streamed(body, progress) => {
                    let max_bytes = self.route.max_body_bytes;
                    let upload = Upload::streamed(body, max_bytes, self.cfg.body_timeout, progress.clone());
                    let sent = self.send(picked, &parts, upload).await;
                    return sent.map_err(|failure| Refusal::new(progress.fault().unwrap_or(failure.code), failure.run));
                }
            };
            match self.send(picked, &parts, upload).await {
                Ok(response) => return Ok(response),
                Err(failure) => {
                    last = Failure {
                        run: least_certain(last.run, failure.run),
                        code: failure.code,
                    }
                }
            }
            payload = Payload::Buffered(retained);
        }
        Err(Refusal::new(last.code, last.run))
    }

    /// Computes the fingerprint of the request, and refuses it if requests like it crash servers.
    fn check_quarantine(&mut self, parts: &Parts, body: Option<&Bytes>) -> Result<(), Refusal> {
        let Some(body) = body else { return Ok(()) };
        // Routes do not depend on the host, which differs between VMs.
        let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
        let fingerprint = Fingerprint::of(&[
            parts.method.as_str().as_bytes(),
            target.as_bytes(),
            self.caller.as_ref().map_or("", |caller| caller.as_str()).as_bytes(),
            &SipHasher13::new().hash(body).as_bytes(),
        ]);
        self.fingerprint = Some(fingerprint);
        let refused = Refusal::new(Code::RequestQuarantined, Run::NotRun);
        let admitted = self.poison.admit(&fingerprint);
        admitted.map_err(|quarantined| refused.with_retry_after(Some(quarantined.retry_after)))
    }

    /// Records that the connection to a server broke while it had the request.
    fn record_loss(&self, picked: &PickedServer) {
        if let Some(fingerprint) = self.fingerprint {
            self.poison
                .on_lost(picked.name(), None, picked.connections(), fingerprint);
        }
    }

    fn pick(&self, tried: &TriedServers) -> Result<PickedServer, Code> {
        let version_pick = self
            .version_gate
            .as_ref()
            .map(|gate| gate.pick(Instant::now(), &self.route.name));
        let requirements = |version_pick| ServerRequirements {
            version: self.backends.version(),
            version_pick,
            tried,
            idempotent: self.route.execution == Execution::Idempotent,
            share: self.share,
        };
        let picked = self.backends.pick(requirements(version_pick.as_ref()));
        // Falls back to the old version if no server of the new one is available; a completed shift has no fallback.
        match (picked, version_pick.as_ref().and_then(VersionPick::fallback)) {
            (Err(_), Some(old)) => self.backends.pick(requirements(Some(&old))),
            (picked, _) => picked,
        }
    }

    /// Returns whether the last key check is too old, for example after a pause of the process. The key may have been
    /// withdrawn since.
    fn is_key_check_stale(&self) -> bool {
        self.key_checked_at
            .is_some_and(|at| at.elapsed() > self.cfg.key_check_lifetime)
    }

    fn is_last(&self, tried: &TriedServers) -> bool {
        tried.len() as u32 >= self.cfg.max_tries
    }

    fn connect_timeout(&self) -> Duration {
        self.cfg.connect_timeout.min(self.deadline.left(Instant::now()))
    }

    /// Prepares the request head for a backend server: removes the key and the hop-by-hop headers and sets the request
    /// id.
    pub(crate) fn backend_request_head(mut parts: Parts, id: &RequestId) -> Parts {
        let key = bearer_key(&parts.headers).map(str::to_owned);
        strip_hop_by_hop(&mut parts.headers);
        strip_private(&mut parts.headers, key.as_deref());
        if parts.version == Version::HTTP_2 {
            if let Some(host) = parts
                .uri
                .authority()
                .and_then(|a| HeaderValue::from_str(a.as_str()).ok())
            {
                parts.headers.insert(HOST, host);
            }
            parts.version = Version::HTTP_11;
        }
        let target = parts.uri.path_and_query().cloned();
        parts.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        parts.headers.insert(REQUEST_ID_HEADER, id.to_header());
        parts
    }

    /// Sends the request on an idle or a new connection.
    async fn send(
        &self,
        picked: PickedServer,
        parts: &Parts,
        upload: Upload,
    ) -> Result<Response<ResponseBody>, Failure> {
        match picked
            .connections()
            .take(&DirectDial, self.connect_timeout(), ANY_IDLE_TIME)
            .await
        {
            Ok(connection) => self.exchange(picked, connection, parts, upload).await,
            Err(code) => Err(self.fail(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
        }
    }

    /// Sends the request on `connection` and reads the response head.
    async fn exchange(
        &self,
        mut picked: PickedServer,
        mut connection: Connection,
        parts: &Parts,
        upload: Upload,
    ) -> Result<Response<ResponseBody>, Failure> {
        let unknown = |code| Failure {
            code,
            run: Run::Unknown,
        };
        if self.is_key_check_stale() {
            return Err(Failure {
                code: Code::NotCurrent,
                run: Run::NotRun,
            });
        }
        picked.mark_sent(upload.try_clone().is_some());
        let progress = upload.progress();
        let copy = upload.try_clone();
        let mut sent = self.try_send(&mut connection, self.build_request(parts, upload)).await;
        // A server may close an idle connection at any time. The request is returned if no part of it was written.
        if connection.reused
            && let Some(Err(e)) = &mut sent
            && let Some(req) = e.take_message()
        {
            connection = match picked.connections().open(&DirectDial, self.connect_timeout()).await {
                Ok(connection) => connection,
                Err(code) => return Err(self.fail(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
            };
            sent = self.try_send(&mut connection, req).await;
        } else if connection.reused
            && let (Some(Err(_)), Some(upload)) = (&sent, copy)
            && self.backends.retries().try_retry(Instant::now(), true)
        {
            // The server closed the idle connection during the send. Only idempotent requests reuse connections, so the
            // same server may receive the request twice.
            connection = match picked.connections().open(&DirectDial, self.connect_timeout()).await {
                Ok(connection) => connection,
                Err(code) => {
                    self.record_loss(&picked);
                    return Err(self.fail(picked, Outcome::Failed, unknown(code)));
                }
            };
            sent = self.try_send(&mut connection, self.build_request(parts, upload)).await;
        }
        match sent {
            // The caller aborted its body, which says nothing about the health of the server.
            Some(Err(_)) if progress.as_ref().is_some_and(|progress| progress.fault().is_some()) => {
                picked.fail(Outcome::Cancelled);
                Err(unknown(Code::RequestIncomplete))
            }
            Some(Ok(response)) => self.relay_response(picked, connection, parts, response),
            Some(Err(mut e)) => {
                let run = if e.take_message().is_some() {
                    Run::NotRun
                } else {
                    self.record_loss(&picked);
                    Run::Unknown
                };
                Err(self.fail(
                    picked,
                    Outcome::Failed,
                    Failure {
                        code: Code::AnswerLost,
                        run,
                    },
                ))
            }
            None => Err(self.fail(picked, Outcome::TimedOut, unknown(Code::AnswerTimeout))),
        }
    }

    fn build_request(&self, parts: &Parts, upload: Upload) -> Request<Upload> {
        let mut headers = parts.headers.clone();
        upload.set_framing(&mut headers);
        let mut req = Request::new(upload);
        *req.method_mut() = parts.method.clone();
        *req.uri_mut() = parts.uri.clone();
        *req.headers_mut() = headers;
        let left = self.deadline.left(Instant::now()).as_millis() as u64;
        req.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(left));
        req
    }

    async fn try_send(
        &self,
        connection: &mut Connection,
        req: Request<Upload>,
    ) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
        connection.send(req, self.deadline.instant(), HEAD_TIMEOUT).await
    }

    fn relay_response(
        &self,
        mut picked: PickedServer,
        connection: Connection,
        parts: &Parts,
        response: Response<Incoming>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let unknown = |code| Failure {
            code,
            run: Run::Unknown,
        };
        if let Some(id) = response.headers().get(REQUEST_ID_HEADER)
            && id.as_bytes() != self.id.as_str().as_bytes()
        {
            return Err(self.fail(picked, Outcome::Failed, unknown(Code::AnswerMismatch)));
        }
        if !is_final_status(response.status()) || !has_known_end(&parts.method, &response) {
            return Err(self.fail(picked, Outcome::Failed, unknown(Code::AnswerInvalid)));
        }
        if let Some(fingerprint) = &self.fingerprint {
            self.poison.on_answer(fingerprint);
        }
        picked.record_response_head(response.status(), announces_close(&response));
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        let body = ResponseBody::from_server(body, connection, picked, self.cfg.body_timeout, self.deadline.instant());
        head.version = Version::HTTP_11;
        Ok(Response::from_parts(head, body))
    }

    /// Logs a failed attempt and records its outcome for the server.
    fn fail(&self, picked: PickedServer, outcome: Outcome, failure: Failure) -> Failure {
        emit!(
            Event::ServerFailed,
            server = picked.name(),
            code = failure.code.number(),
            request = self.id.as_str()
        );
        picked.fail(outcome);
        failure
    }
}

/// Returns whether the server announced that it will close the connection, as it does when it is shutting down.
fn announces_close(response: &Response<Incoming>) -> bool {
    let values = response.headers().get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns [`Run::Unknown`] if either result is unknown.
fn least_certain(a: Run, b: Run) -> Run {
    if a == Run::Unknown { a } else { b }
}

/// Returns whether the end of a response can be distinguished from truncation, which is impossible if the end of the
/// connection marks the end of the body.
fn has_known_end(method: &Method, response: &Response<Incoming>) -> bool {
    let status = response.status();
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || response.body().is_end_stream()
        || response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING)
}
