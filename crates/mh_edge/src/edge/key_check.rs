use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use mh_config::{Access, CompiledOrg, CompiledRoute, Snapshot};
use mh_types::{Code, Run};
use tokio::time::Instant;

use super::Edge;
use crate::forward::Forward;
use crate::headers::bearer;
use crate::refusal::Refusal;
use crate::upload::hold;

impl Edge {
    /// Reads the whole body, confirms the key after that, and gives the request's head as a backend server gets it.
    pub(super) async fn hold_confirmed(
        &self,
        forward: Forward,
        req: Request<Incoming>,
    ) -> Result<(Forward, Parts, Bytes), Refusal> {
        let (parts, body) = req.into_parts();
        let body = hold(
            body,
            forward.route.max_body_bytes,
            self.cfg.body_timeout,
            forward.deadline.instant(),
        )
        .await?;
        let key_checked_at = self.confirm_key(&forward.route, &parts)?;
        let parts = Forward::outgoing(parts, &forward.id);
        let forward = Forward {
            key_checked_at,
            ..forward
        };
        Ok((forward, parts, body))
    }

    /// Looks the key up again after the body has arrived, which may have taken long enough for its withdrawal; returns
    /// when that was, `None` where the settings' age does not matter.
    pub(super) fn confirm_key(&self, route: &CompiledRoute, parts: &Parts) -> Result<Option<Instant>, Refusal> {
        if route.access == Access::Open {
            return Ok(None);
        }
        let now = Instant::now();
        if self.cfg.refuse_when_not_current && !self.gate.is_open(now) {
            return Err(Refusal::new(Code::NotCurrent, Run::NotRun));
        }
        let live = self.live.load();
        if bearer(&parts.headers)
            .and_then(|key| live.snapshot.org_of_key(key))
            .is_none()
        {
            return Err(Refusal::new(Code::KeyUnknown, Run::NotRun));
        }
        Ok(self.cfg.refuse_when_not_current.then_some(now))
    }
}

/// The organisation whose key came with the request; `None` on a route open to all.
pub(super) fn authorise<'s, B>(
    snapshot: &'s Snapshot,
    route: &CompiledRoute,
    req: &Request<B>,
) -> Result<Option<&'s Arc<CompiledOrg>>, Refusal> {
    let not_run = |code| Refusal::new(code, Run::NotRun);
    let key = bearer(req.headers());
    // The target goes to the backend server, which must not see the key.
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
