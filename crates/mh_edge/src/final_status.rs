use hyper::StatusCode;

/// Returns whether `status` is one of a final response (RFC 9110, section 15).
///
/// The HTTP library accepts any three digits. It also passes 101 on, although no request asks for another protocol.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
