use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mh_once::{Answer, TableLimits};
use mh_peer::OperationAnswer;
use mh_types::Code;

use crate::BufferBudget;
use crate::final_status::is_final_status;
use crate::response_body::ResponseBody;

/// Largest answer of an operation, in bytes; typical answers, such as those to orders and charges, are far smaller.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Size up to which every answer is read, so that long answers do not make typical ones fail, in bytes.
const UNRESERVED_BYTES: usize = 64 * 1024;

/// Memory for all answers beyond their first [`UNRESERVED_BYTES`], in bytes. Three answers of the largest size fit.
pub(crate) const MAX_ANSWERS_BYTES: usize = 3 * MAX_ANSWER_BYTES;

/// Reads a complete response into memory, as far as `budget` has room for it.
pub(crate) async fn read_answer(answer: Response<ResponseBody>, budget: &BufferBudget) -> Result<Answer, Code> {
    let (head, mut body) = answer.into_parts();
    let headers = head.headers.iter();
    let headers = headers
        .map(|(name, value)| {
            (
                Bytes::copy_from_slice(name.as_ref()),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect();
    let mut permit = budget.reserve(0).ok_or(Code::AnswerLost)?;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::AnswerLost)?;
        let Some(data) = frame.data_ref() else { continue };
        let len = buf.len() + data.len();
        if len > MAX_ANSWER_BYTES || !permit.grow_to(len.saturating_sub(UNRESERVED_BYTES)) {
            return Err(Code::AnswerLost);
        }
        buf.extend_from_slice(data);
    }
    // A caller may read a long answer slowly. Shorter ones may be kept for repeated requests, which has a limit of its own.
    let body = if buf.len() > TableLimits::default().max_one_answer_bytes {
        permit.attach(buf.freeze())
    } else {
        buf.freeze()
    };
    Ok(Answer {
        status: head.status.as_u16(),
        headers,
        body,
    })
}

pub(super) fn to_operation_answer(answer: &Answer) -> OperationAnswer {
    let headers = answer.headers.iter();
    let headers = headers
        .map(|(name, value)| (String::from_utf8_lossy(name).into_owned(), value.clone()))
        .collect();
    OperationAnswer::Answered {
        status: answer.status,
        headers,
        body: answer.body.clone(),
    }
}

/// Builds the HTTP response from the stored answer of an operation, which another VM may have received.
pub(crate) fn to_response(status: u16, headers: &[(String, Bytes)], body: Bytes) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::buffered(body));
    // A VM of an earlier version accepts invalid statuses from its servers.
    let status = StatusCode::from_u16(status)
        .ok()
        .filter(|status| is_final_status(*status));
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_str());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value.clone())) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}

#[cfg(test)]
#[path = "../../tests/unit/answer.rs"]
mod tests;
