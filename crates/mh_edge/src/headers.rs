use bytes::Bytes;
use hyper::header::{
    AUTHORIZATION, CONNECTION, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};
use mh_peer::Operation;
use smallvec::SmallVec;

/// Header with the milliseconds left until the caller's deadline.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("mangohook-deadline-ms");
/// Header with the operation id.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the request id, sent to the backend server and to the caller.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("mangohook-request-id");

/// Prefix of the headers that are reserved for this system.
const SYSTEM_HEADER_PREFIX: &str = "mangohook-";
/// Scheme of a caller key in the `Authorization` header.
const BEARER_SCHEME: &str = "bearer ";
/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the caller key from the `Authorization` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..BEARER_SCHEME.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER_SCHEME)
        .then(|| value[BEARER_SCHEME.len()..].trim())
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the reserved headers and every header that contains the caller key.
pub(crate) fn strip_private(headers: &mut HeaderMap, key: Option<&str>) {
    headers.remove(AUTHORIZATION);
    let holds_key = |value: &HeaderValue| {
        key.is_some_and(|key| !key.is_empty() && value.as_bytes().windows(key.len()).any(|part| part == key.as_bytes()))
    };
    let private: SmallVec<[HeaderName; 4]> = headers
        .iter()
        .filter(|(name, value)| name.as_str().starts_with(SYSTEM_HEADER_PREFIX) || holds_key(value))
        .map(|(name, _)| name.clone())
        .collect();
    for name in private {
        headers.remove(name);
    }
}

/// Returns the total size of all names and values, in bytes.
pub fn total_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Converts headers to name-value pairs for messages to other VMs and for stored requests.
pub(crate) fn to_pairs(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Builds the request head of an operation that another VM forwarded; `None` if it is invalid.
pub(crate) fn to_parts(operation: &Operation) -> Option<Parts> {
    let mut req = Request::builder()
        .method(operation.method.as_str())
        .uri(operation.target.as_str());
    for (name, value) in &operation.headers {
        req = req.header(name.as_str(), value.as_ref());
    }
    Some(req.body(()).ok()?.into_parts().0)
}
