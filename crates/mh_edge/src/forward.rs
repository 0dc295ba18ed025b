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
use mh_route::{Outcome, Share};
use mh_types::{Code, Event, Run, ServerName, emit};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::backends::{Need, Picked};
use crate::connections::{ANY_AGE, Connection};
use crate::deadline::Deadline;
use crate::headers::{DEADLINE_HEADER, REQUEST_ID_HEADER, bearer, strip_hop_by_hop, strip_private};
use crate::operations::{Runner, whole_answer};
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::upload::{Upload, UploadProgress};
use crate::version_gate::Versioned;
use crate::{Backends, EdgeCfg, VersionGate};

/// Longest time from the first byte of an answer's head to its end; a head fits one packet.
const HEAD_LIMIT: Duration = Duration::from_millis(500);

/// Servers that one request was sent to.
type Tried = SmallVec<[ServerName; 4]>;

/// A request body before it is sent.
#[derive(Debug)]
pub(crate) enum Payload {
    /// In memory; it can be sent again.
    Held(Bytes),
    /// Passed on as it arrives, once.
    Passed(Incoming, UploadProgress),
}

/// One request's way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Forward {
    pub(crate) cfg: Arc<EdgeCfg>,
    pub(crate) route: Arc<CompiledRoute>,
    pub(crate) backends: Arc<Backends>,
    pub(crate) share: Share,
    /// When the key was checked; `None` without a key or when old settings may be served.
    pub(crate) key_checked_at: Option<Instant>,
    pub(crate) gate: Option<Arc<VersionGate>>,
    pub(crate) id: RequestId,
    pub(crate) deadline: Deadline,
}

/// How one try ended without an answer.
struct Failure {
    code: Code,
    run: Run,
}

/// One operation's way to a backend server, which it takes at most once.
#[derive(Debug)]
pub(crate) struct ForwardOnce {
    pub(crate) forward: Forward,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

impl Runner for ForwardOnce {
    async fn run(self, attempt: Attempt<Ready>) -> Result<Arc<Answer>, Refusal> {
        let forward = &self.forward;
        let mut tried = Tried::new();
        // Only connecting is tried again; nothing of the operation has left this VM then.
        let (picked, connection) = loop {
            let picked = match forward.pick(&tried) {
                Ok(picked) => picked,
                Err(code) => return Err(abandoned(attempt, code)),
            };
            tried.push(picked.name().clone());
            // An idle connection may be closed by the server at the moment of sending, which could not be told from a
            // loss after the operation ran. A new connection costs one round trip and avoids that doubt.
            match picked.connections().open(forward.connect_limit()).await {
                Ok(connection) => break (picked, connection),
                Err(code) if forward.is_last(&tried) => {
                    let failure = forward.failed(picked, Outcome::Failed, Failure { code, run: Run::NotRun });
                    return Err(abandoned(attempt, failure.code));
                }
                Err(code) => drop(forward.failed(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
            }
        };
        if forward.deadline.left(Instant::now()).is_zero() {
            return Err(abandoned(attempt, Code::DeadlinePassed));
        }
        if forward.is_key_check_stale() {
            return Err(abandoned(attempt, Code::NotCurrent));
        }
        let attempt = attempt.send();
        let answered = forward
            .exchange(picked, connection, &self.parts, Upload::held(self.body.clone()))
            .await;
        let whole = match answered {
            Ok(answer) => tokio::time::timeout_at(forward.deadline.instant(), whole_answer(answer))
                .await
                .unwrap_or(Err(Code::AnswerTimeout)),
            Err(failure) => Err(failure.code),
        };
        match whole {
            Ok(answer) => Ok(attempt.finish(Instant::now(), answer)),
            Err(code) => {
                attempt.unknown(Instant::now());
                Err(Refusal::new(code, Run::Unknown))
            }
        }
    }
}

fn abandoned(attempt: Attempt<Ready>, code: Code) -> Refusal {
    let (code, run) = attempt.abandon().refusal(code);
    Refusal::new(code, run)
}

impl Forward {
    /// Sends an idempotent request, to another server after a failure.
    pub(crate) async fn run(self, parts: Parts, mut payload: Payload) -> Result<Response<AnswerBody>, Refusal> {
        let mut tried = Tried::new();
        let mut last = Failure {
            code: Code::NoServer,
            run: Run::NotRun,
        };
        self.backends.retries().on_request();
        while !self.is_last(&tried) {
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
            let (upload, again) = match payload {
                Payload::Held(bytes) => (Upload::held(bytes.clone()), bytes),
                Payload::Passed(body, progress) => {
                    let max_bytes = self.route.max_body_bytes;
                    let upload = Upload::passed(body, max_bytes, self.cfg.body_timeout, progress.clone());
                    let sent = self.send(picked, &parts, upload).await;
                    return sent.map_err(|failure| Refusal::new(progress.fault().unwrap_or(failure.code), failure.run));
                }
            };
            match self.send(picked, &parts, upload).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    last = Failure {
                        run: worst(last.run, failure.run),
                        code: failure.code,
                    }
                }
            }
            payload = Payload::Held(again);
        }
        Err(Refusal::new(last.code, last.run))
    }

    fn pick(&self, tried: &Tried) -> Result<Picked, Code> {
        let versioned = self
            .gate
            .as_ref()
            .map(|gate| gate.pick(Instant::now(), &self.route.name));
        let need = |versioned| Need {
            version: self.backends.version(),
            versioned,
            tried,
            idempotent: self.route.execution == Execution::Idempotent,
            share: self.share,
        };
        let picked = self.backends.pick(need(versioned.as_ref()));
        // The old version serves when the new one has no server to spare; a completed shift falls back to nothing.
        match (picked, versioned.as_ref().and_then(Versioned::fall_back)) {
            (Err(_), Some(old)) => self.backends.pick(need(Some(&old))),
            (picked, _) => picked,
        }
    }

    /// Whether the key was checked too long ago, as after a pause of the process, in which it may have been withdrawn.
    fn is_key_check_stale(&self) -> bool {
        self.key_checked_at
            .is_some_and(|at| at.elapsed() > self.cfg.key_check_lifetime)
    }

    fn is_last(&self, tried: &Tried) -> bool {
        tried.len() as u32 >= self.cfg.max_tries
    }

    fn connect_limit(&self) -> Duration {
        self.cfg.connect_timeout.min(self.deadline.left(Instant::now()))
    }

    /// The request's head as a backend server gets it: without the key and without headers of the caller's connection.
    pub(crate) fn outgoing(mut parts: Parts, id: &RequestId) -> Parts {
        let key = bearer(&parts.headers).map(str::to_owned);
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

    /// Sends on an idle or a new connection.
    async fn send(&self, picked: Picked, parts: &Parts, upload: Upload) -> Result<Response<AnswerBody>, Failure> {
        match picked.connections().take(self.connect_limit(), ANY_AGE).await {
            Ok(connection) => self.exchange(picked, connection, parts, upload).await,
            Err(code) => Err(self.failed(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
        }
    }

    /// Sends on `connection` and reads the answer's head.
    async fn exchange(
        &self,
        mut picked: Picked,
        mut connection: Connection,
        parts: &Parts,
        upload: Upload,
    ) -> Result<Response<AnswerBody>, Failure> {
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
        picked.sent(upload.again().is_some());
        let progress = upload.progress();
        let again = upload.again();
        let mut sent = self.try_send(&mut connection, self.message(parts, upload)).await;
        // A server may close an idle connection at any time; the request is handed back when none of it was written.
        if connection.reused
            && let Some(Err(e)) = &mut sent
            && let Some(req) = e.take_message()
        {
            connection = match picked.connections().open(self.connect_limit()).await {
                Ok(connection) => connection,
                Err(code) => return Err(self.failed(picked, Outcome::Failed, Failure { code, run: Run::NotRun })),
            };
            sent = self.try_send(&mut connection, req).await;
        } else if connection.reused
            && let (Some(Err(_)), Some(upload)) = (&sent, again)
            && self.backends.retries().try_retry(Instant::now(), true)
        {
            // The server closed the idle connection while the request was on its way. Only idempotent requests use a
            // connection again, so the same server may get it a second time.
            connection = match picked.connections().open(self.connect_limit()).await {
                Ok(connection) => connection,
                Err(code) => return Err(self.failed(picked, Outcome::Failed, unknown(code))),
            };
            sent = self.try_send(&mut connection, self.message(parts, upload)).await;
        }
        match sent {
            // The caller broke off its body; that says nothing about the server.
            Some(Err(_)) if progress.as_ref().is_some_and(|progress| progress.fault().is_some()) => {
                picked.failed(Outcome::Cancelled);
                Err(unknown(Code::RequestIncomplete))
            }
            Some(Ok(answer)) => self.pass_on(picked, connection, parts, answer),
            Some(Err(mut e)) => {
                let run = if e.take_message().is_some() {
                    Run::NotRun
                } else {
                    Run::Unknown
                };
                Err(self.failed(
                    picked,
                    Outcome::Failed,
                    Failure {
                        code: Code::AnswerLost,
                        run,
                    },
                ))
            }
            None => Err(self.failed(picked, Outcome::TimedOut, unknown(Code::AnswerTimeout))),
        }
    }

    fn message(&self, parts: &Parts, upload: Upload) -> Request<Upload> {
        let mut req = Request::new(upload);
        *req.method_mut() = parts.method.clone();
        *req.uri_mut() = parts.uri.clone();
        *req.headers_mut() = parts.headers.clone();
        let left = self.deadline.left(Instant::now()).as_millis() as u64;
        req.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(left));
        req
    }

    async fn try_send(
        &self,
        connection: &mut Connection,
        req: Request<Upload>,
    ) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
        connection.send(req, self.deadline.instant(), HEAD_LIMIT).await
    }

    fn pass_on(
        &self,
        mut picked: Picked,
        connection: Connection,
        parts: &Parts,
        answer: Response<Incoming>,
    ) -> Result<Response<AnswerBody>, Failure> {
        let unknown = |code| Failure {
            code,
            run: Run::Unknown,
        };
        if let Some(id) = answer.headers().get(REQUEST_ID_HEADER)
            && id.as_bytes() != self.id.as_str().as_bytes()
        {
            return Err(self.failed(picked, Outcome::Failed, unknown(Code::AnswerMismatch)));
        }
        if !has_known_end(&parts.method, &answer) {
            return Err(self.failed(picked, Outcome::Failed, unknown(Code::AnswerInvalid)));
        }
        picked.answered(answer.status(), closes(&answer));
        let (mut head, body) = answer.into_parts();
        strip_hop_by_hop(&mut head.headers);
        let body = AnswerBody::passed(body, connection, picked, self.cfg.body_timeout, self.deadline.instant());
        head.version = Version::HTTP_11;
        Ok(Response::from_parts(head, body))
    }

    fn failed(&self, picked: Picked, outcome: Outcome, failure: Failure) -> Failure {
        emit!(
            Event::ServerFailed,
            server = picked.name(),
            code = failure.code.number(),
            request = self.id.as_str()
        );
        picked.failed(outcome);
        failure
    }
}

/// Whether the server announced that it closes the connection, which it does when it is leaving.
fn closes(answer: &Response<Incoming>) -> bool {
    let values = answer.headers().get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

fn worst(a: Run, b: Run) -> Run {
    if a == Run::Unknown { a } else { b }
}

/// Whether the end of an answer can be told from its truncation; one that ends with the connection cannot.
fn has_known_end(method: &Method, answer: &Response<Incoming>) -> bool {
    let status = answer.status();
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || answer.body().is_end_stream()
        || answer.headers().contains_key(CONTENT_LENGTH)
        || answer.headers().contains_key(TRANSFER_ENCODING)
}
