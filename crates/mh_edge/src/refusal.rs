use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mh_types::{Code, Run};
use serde::Serialize;

use crate::response_body::ResponseBody;

/// Value of `Retry-After` if the actual wait is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error result of a request that gets no response from a backend server.
///
/// The code and whether the request may have run are set together and cannot be changed, so that a status that promises
/// "not run" (408, 421, 429, 503) is never sent for a request that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    code: Code,
    run: Run,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Addresses of other VMs that can serve the request.
    pub alternatives: Vec<String>,
}

/// Body of a refusal: a problem document as defined by RFC 9457.
#[derive(Debug, Serialize)]
pub struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    code: u16,
    run: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    use_instead: &'a [String],
}

impl Refusal {
    /// Creates a refusal; temporary codes get a `retry_after` of one second.
    ///
    /// If the request may have run, [`Code::if_may_have_run`] replaces codes that say the contrary.
    pub fn new(code: Code, run: Run) -> Self {
        let code = match run {
            Run::NotRun => code,
            Run::Unknown => code.if_may_have_run(),
        };
        let retry_after = code.is_temporary().then_some(DEFAULT_RETRY_AFTER);
        Self {
            code,
            run,
            retry_after,
            alternatives: Vec::new(),
        }
    }

    /// Result code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Whether the request may have run.
    pub fn run(&self) -> Run {
        self.run
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Option<Duration>) -> Self {
        Self { retry_after, ..self }
    }

    /// Drops the time after which to retry if the caller, who has the time `left`, would no longer wait then.
    #[must_use]
    pub fn for_caller_with(self, left: Duration) -> Self {
        let retry_after = self.retry_after.filter(|wait| whole_seconds(*wait) < left);
        Self { retry_after, ..self }
    }

    /// Sets the addresses of other VMs that can serve the request.
    #[must_use]
    pub fn with_alternatives(self, alternatives: Vec<String>) -> Self {
        Self { alternatives, ..self }
    }

    /// Builds the HTTP response to the request `id`.
    pub fn into_response(self, id: &str) -> Response<ResponseBody> {
        let problem = Problem {
            kind: format!("urn:mangohook:code:{}", self.code.number()),
            title: self.code.title(),
            status: self.code.status(),
            code: self.code.number(),
            run: self.run.as_str(),
            request_id: id,
            use_instead: &self.alternatives,
        };
        let body = Bytes::from(serde_json::to_vec(&problem).unwrap_or_default());
        let mut response = Response::new(ResponseBody::buffered(body));
        *response.status_mut() = StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait).as_secs()));
        }
        response
    }
}

/// Rounds up to the whole seconds of a `Retry-After` header.
fn whole_seconds(wait: Duration) -> Duration {
    Duration::from_secs(wait.as_millis().div_ceil(1000) as u64)
}
