use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri, Version};
use mh_edge::{Upload, strip_hop_by_hop};
use mh_types::ServerName;

use super::request_context::RequestContext;
use crate::HeaderNames;

/// Builds the head of a request as it is sent to every server: without the key and without hop-by-hop headers.
pub(super) fn forwarded_head(mut parts: Parts, names: &HeaderNames, organisation: Option<&str>) -> Parts {
    strip_hop_by_hop(&mut parts.headers);
    for name in [&names.key, &names.organisation, &names.expected_server] {
        parts.headers.remove(name);
    }
    // The connection sets the length of the body it sends, but states none for an empty one. Reading the body here has
    // already met the expectation.
    if parts.headers.get(CONTENT_LENGTH).is_some_and(|length| length != "0") {
        parts.headers.remove(CONTENT_LENGTH);
    }
    parts.headers.remove(EXPECT);
    if let Some(value) = organisation.and_then(|name| HeaderValue::from_str(name).ok()) {
        parts.headers.insert(names.organisation.clone(), value);
    }
    let target = parts.uri.path_and_query().cloned();
    parts.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    parts.version = Version::HTTP_11;
    parts
}

/// Builds the request to one server.
pub(super) fn server_request(
    head: &Parts,
    cx: &RequestContext,
    server: &ServerName,
    upload: Upload,
) -> Request<Upload> {
    let mut headers = head.headers.clone();
    upload.set_framing(&mut headers);
    let mut req = Request::new(upload);
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = headers;
    let headers = req.headers_mut();
    let remaining_ms = u64::try_from(cx.remaining().as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(cx.headers.deadline_ms.clone(), HeaderValue::from(remaining_ms));
    headers.insert(cx.headers.request_id.clone(), cx.id_header.clone());
    if let Ok(value) = HeaderValue::from_str(server.as_str()) {
        headers.insert(cx.headers.expected_server.clone(), value);
    }
    req
}
