use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mh_types::{Code, Run};
use serde::Serialize;

use crate::answer_body::AnswerBody;

/// Wait that a caller is asked for when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that gets no answer from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Whether the request may have run.
    pub run: Run,
    /// When a repeat may succeed.
    pub retry_after: Option<Duration>,
    /// Addresses of VMs to use instead.
    pub instead: Vec<String>,
}

/// Body of a refusal, a problem document after RFC 9457.
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
    /// A refusal; codes that waiting helps ask for a wait of one second.
    pub fn new(code: Code, run: Run) -> Self {
        let retry_after = code.is_temporary().then_some(DEFAULT_RETRY_AFTER);
        Self {
            code,
            run,
            retry_after,
            instead: Vec::new(),
        }
    }

    /// The answer to the request `id`.
    pub fn into_response(self, id: &str) -> Response<AnswerBody> {
        let problem = Problem {
            kind: format!("urn:mangohook:code:{}", self.code.number()),
            title: self.code.title(),
            status: self.code.status(),
            code: self.code.number(),
            run: self.run.as_str(),
            request_id: id,
            use_instead: &self.instead,
        };
        let body = Bytes::from(serde_json::to_vec(&problem).unwrap_or_default());
        let mut answer = Response::new(AnswerBody::whole(body));
        *answer.status_mut() = StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(wait.as_millis().div_ceil(1000) as u64));
        }
        answer
    }
}
