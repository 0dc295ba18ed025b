use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri, Version};
use mh_edge::{Upload, strip_hop_by_hop};
use mh_types::ServerName;

use super::cx::Cx;
use crate::HeaderNames;

/// The head of a request as every server gets it: without the key and without headers of the caller's connection.
pub(super) fn head(mut parts: Parts, names: &HeaderNames, organisation: Option<&str>) -> Parts {
    strip_hop_by_hop(&mut parts.headers);
    for name in [&names.key, &names.organisation, &names.expected_server] {
        parts.headers.remove(name);
    }
    // The connection states the length of what it sends; the expectation was met by reading the body here.
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(EXPECT);
    if let Some(value) = organisation.and_then(|name| HeaderValue::from_str(name).ok()) {
        parts.headers.insert(names.organisation.clone(), value);
    }
    let target = parts.uri.path_and_query().cloned();
    parts.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    parts.version = Version::HTTP_11;
    parts
}

/// The message to one server.
pub(super) fn message(head: &Parts, cx: &Cx, server: &ServerName, upload: Upload) -> Request<Upload> {
    let mut req = Request::new(upload);
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = head.headers.clone();
    let headers = req.headers_mut();
    let left = u64::try_from(cx.left().as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(cx.headers.deadline_ms.clone(), HeaderValue::from(left));
    headers.insert(cx.headers.request_id.clone(), cx.id_header.clone());
    if let Ok(value) = HeaderValue::from_str(server.as_str()) {
        headers.insert(cx.headers.expected_server.clone(), value);
    }
    req
}
