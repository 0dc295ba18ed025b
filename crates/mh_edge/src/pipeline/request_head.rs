use std::mem::MaybeUninit;

use hyper::http::{HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

/// Maximum number of headers of a head whose end is tracked. The HTTP library refuses requests with more.
const MAX_HEADERS: usize = 256;

/// What follows a request head on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The next request.
    Bodiless,
    /// A body of this many bytes, and then the next request.
    Length(u64),
    /// Anything else, or the connection ends after the request.
    Unknown,
}

/// Result of parsing the bytes at the beginning of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadStatus {
    Partial,
    Complete { len: usize, framing: Framing },
    Invalid,
}

type Headers<'a> = [MaybeUninit<httparse::Header<'a>>; MAX_HEADERS];

pub(super) fn parse_head(bytes: &[u8]) -> HeadStatus {
    let mut headers: Headers<'_> = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    match parsed.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete(len)) => HeadStatus::Complete {
            len,
            framing: framing(&parsed),
        },
        Ok(httparse::Status::Partial) => HeadStatus::Partial,
        Err(_) => HeadStatus::Invalid,
    }
}

fn framing(head: &httparse::Request<'_, '_>) -> Framing {
    if head.version != Some(1) || head.method == Some("CONNECT") {
        return Framing::Unknown;
    }
    let mut length = None;
    for header in head.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            // Several lengths are left to the HTTP library, which refuses those that differ.
            match (length, parse_length(header.value)) {
                (None, Some(bytes)) => length = Some(bytes),
                _ => return Framing::Unknown,
            }
        }
        let may_close = is("connection") && !header.value.eq_ignore_ascii_case(b"keep-alive");
        if may_close || is("transfer-encoding") || is("upgrade") || is("expect") {
            return Framing::Unknown;
        }
    }
    match length.unwrap_or(0) {
        0 => Framing::Bodiless,
        bytes => Framing::Length(bytes),
    }
}

/// Parses a `Content-Length` of digits only.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_plain)?.parse().ok()
}

/// Builds the request of a complete head; `None` if its method, target or headers are invalid.
pub(super) fn build_request(bytes: &[u8]) -> Option<Request<()>> {
    let mut headers: Headers<'_> = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    let status = parsed.parse_with_uninit_headers(bytes, &mut headers).ok()?;
    status.is_complete().then_some(())?;
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *req.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req)
}

/// Returns whether the bytes after the first `checked` ones may complete a head. Without this check, a head that arrives
/// byte by byte would be parsed once per byte.
pub(super) fn may_complete_head(bytes: &[u8], checked: usize) -> bool {
    let from = checked.saturating_sub(2);
    let tail = bytes.get(from..).unwrap_or_default();
    tail.windows(2).any(|pair| pair == b"\n\n") || tail.windows(3).any(|triple| triple == b"\n\r\n")
}
