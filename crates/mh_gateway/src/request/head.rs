//! What the head of a request says: its route, organisation, deadline and object.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use mh_edge::Refusal;
use mh_types::{Code, Run};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{HeaderNames, HostRoute, Plan, PlanOrg};

/// `Retry-After` of refusals while this VM is not ready.
pub(super) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the requested host in lower case, without the port.
pub(super) fn requested_host(header: Option<&HeaderValue>, uri_host: Option<&str>) -> Option<String> {
    let header = header.and_then(|value| value.to_str().ok());
    let host = uri_host.or(header)?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}

/// Returns the route of a request; an error if there is none, if the route is unreadable, or if the path
/// may belong to a route that could not be decoded.
pub(super) fn find_route<'a>(plan: &'a Plan, host: &str, path: &str) -> Result<&'a Arc<HostRoute>, Refusal> {
    match plan.route(host, path) {
        Some(route) if !route.targets.is_empty() => Ok(route),
        None if !plan.unreadable.routes => Err(not_run(Code::NoRoute)),
        _ => Err(refusal_with_retry_after(Code::PartUnreadable, NOT_READY_RETRY_AFTER)),
    }
}

/// Returns the organisation that a request is made for. Open routes need no key; a known key still identifies its
/// organisation.
pub(super) fn authorise(
    plan: &Plan,
    route: &HostRoute,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Result<Option<Arc<PlanOrg>>, Refusal> {
    let key = headers.get(&names.key).and_then(|value| value.to_str().ok());
    let org = key.and_then(|key| plan.org_of_key(key));
    match (org, key) {
        (Some(org), _) => Ok(Some(Arc::clone(org))),
        (None, _) if route.open || !plan.has_keys() => Ok(None),
        (None, Some(key)) if plan.unreadable.may_hold(key) => {
            Err(refusal_with_retry_after(Code::PartUnreadable, NOT_READY_RETRY_AFTER))
        }
        (None, Some(_)) => Err(not_run(Code::KeyUnknown)),
        (None, None) => Err(not_run(Code::KeyMissing)),
    }
}

/// Returns the time at which the caller stops waiting; the route's timeout if the header is missing.
pub(super) fn caller_deadline(
    headers: &HeaderMap,
    names: &HeaderNames,
    arrived: Instant,
    route: &HostRoute,
) -> Result<Instant, Refusal> {
    let Some(value) = headers.get(&names.deadline_ms) else {
        return Ok(arrived + route.timeout);
    };
    let ms: Option<u64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let ms = ms.ok_or_else(|| not_run(Code::DeadlineInvalid))?;
    // An hour is longer than any caller waits and cannot overflow the clock.
    Ok(arrived + Duration::from_millis(ms.min(3_600_000)))
}

pub(super) fn object_hash(headers: &HeaderMap, names: &HeaderNames) -> Option<u64> {
    let value = headers.get(&names.object)?;
    let mut hasher = SipHasher13::new();
    hasher.write(value.as_bytes());
    Some(hasher.finish())
}

/// Returns the regions that both the route and the organisation allow; empty for all.
pub(super) fn allowed_regions(
    route: &HostRoute,
    org: Option<&PlanOrg>,
) -> Result<SmallVec<[mh_types::RegionName; 4]>, Refusal> {
    let org_regions = org.map_or(&[][..], |org| &org.regions);
    let allowed: SmallVec<[mh_types::RegionName; 4]> = match (route.regions.is_empty(), org_regions.is_empty()) {
        (_, true) => route.regions.iter().cloned().collect(),
        (true, false) => org_regions.iter().cloned().collect(),
        (false, false) => route
            .regions
            .iter()
            .filter(|r| org_regions.contains(r))
            .cloned()
            .collect(),
    };
    if allowed.is_empty() && !(route.regions.is_empty() && org_regions.is_empty()) {
        return Err(not_run(Code::NoServer));
    }
    Ok(allowed)
}

pub(super) fn not_run(code: Code) -> Refusal {
    Refusal::new(code, Run::NotRun)
}

pub(super) fn refusal_with_retry_after(code: Code, wait: Duration) -> Refusal {
    not_run(code).with_retry_after(Some(wait))
}
