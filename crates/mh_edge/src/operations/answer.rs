use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mh_once::Answer;
use mh_peer::OperationAnswer;
use mh_types::Code;

use crate::response_body::ResponseBody;

/// Largest answer of an operation, in bytes; typical answers, such as those to orders and charges, are far smaller.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Reads a complete response into memory.
pub(crate) async fn read_answer(answer: Response<ResponseBody>) -> Result<Answer, Code> {
    let (head, body) = answer.into_parts();
    let headers = head.headers.iter();
    let headers = headers
        .map(|(name, value)| {
            (
                Bytes::copy_from_slice(name.as_ref()),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|_| Code::AnswerLost)?;
    Ok(Answer {
        status: head.status.as_u16(),
        headers,
        body: body.to_bytes(),
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

/// Builds the HTTP response from the stored answer of an operation.
pub(crate) fn to_response(status: u16, headers: &[(String, Bytes)], body: Bytes) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::buffered(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_str());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value.clone())) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}
