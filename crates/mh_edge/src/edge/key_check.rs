use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use mh_config::{Access, CompiledOrg, CompiledRoute, Snapshot};
use mh_types::{Code, Run};
use tokio::time::Instant;

use super::Edge;
use crate::forward::Forwarder;
use crate::headers::bearer_key;
use crate::refusal::Refusal;
use crate::upload::read_body;

impl Edge {
    /// Reads the whole body, then checks the key again, and returns the request head prepared for a backend server.
    pub(super) async fn read_and_confirm(
        &self,
        forwarder: Forwarder,
        req: Request<Incoming>,
    ) -> Result<(Forwarder, Parts, Bytes), Refusal> {
        let (parts, body) = req.into_parts();
        let body = read_body(
            body,
            forwarder.route.max_body_bytes,
            self.cfg.body_timeout,
            forwarder.deadline.instant(),
        )
        .await?;
        let key_checked_at = self.confirm_key(&forwarder.route, &parts)?;
        let parts = Forwarder::backend_request_head(parts, &forwarder.id);
        let forwarder = Forwarder {
            key_checked_at,
            ..forwarder
        };
        Ok((forwarder, parts, body))
    }

    /// Checks the key again after the body has arrived, because it may have been withdrawn in the meantime.
    ///
    /// Returns the time of the check, or `None` if outdated settings are acceptable for this request.
    pub(super) fn confirm_key(&self, route: &CompiledRoute, parts: &Parts) -> Result<Option<Instant>, Refusal> {
        if route.access == Access::Open {
            return Ok(None);
        }
        let now = Instant::now();
        if self.cfg.refuse_when_not_current && !self.freshness_gate.is_open(now) {
            return Err(Refusal::new(Code::NotCurrent, Run::NotRun));
        }
        let live = self.live.load();
        if bearer_key(&parts.headers)
            .and_then(|key| live.snapshot.org_of_key(key))
            .is_none()
        {
            return Err(Refusal::new(Code::KeyUnknown, Run::NotRun));
        }
        Ok(self.cfg.refuse_when_not_current.then_some(now))
    }
}

/// Returns the organisation of the request's key; `None` on a route that needs no key.
pub(super) fn authorise<'s, B>(
    snapshot: &'s Snapshot,
    route: &CompiledRoute,
    req: &Request<B>,
) -> Result<Option<&'s Arc<CompiledOrg>>, Refusal> {
    let not_run = |code| Refusal::new(code, Run::NotRun);
    let key = bearer_key(req.headers());
    // The request target is forwarded to the backend server, which must not see the key.
    if key.is_some_and(|key| !key.is_empty() && req.uri().to_string().contains(key)) {
        return Err(not_run(Code::RequestInvalid));
    }
    if route.access == Access::Open {
        return Ok(None);
    }
    let key = key.ok_or_else(|| not_run(Code::KeyMissing))?;
    let org = snapshot.org_of_key(key).ok_or_else(|| not_run(Code::KeyUnknown))?;
    if !route.allows_org(&org.name) {
        return Err(not_run(Code::OrgNotAllowed));
    }
    Ok(Some(org))
}
