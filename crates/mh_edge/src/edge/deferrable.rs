use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use mh_types::{Code, OrgName, Run};
use tokio::time::Instant;

use super::Edge;
use crate::LiveState;
use crate::deadline::Deadline;
use crate::deferred::{DeferredRequest, DeliveryOutcome};
use crate::forward::{Forwarder, Payload};
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::response_body::ResponseBody;

impl Edge {
    /// Handles a request of a deferrable route: if it cannot be delivered now, it is stored and delivered later.
    pub(super) async fn answer_deferrable(
        &self,
        live: &LiveState,
        forwarder: Forwarder,
        org: Option<OrgName>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (forwarder, parts, body) = self.read_and_confirm(forwarder, req).await?;
        let stored = DeferredRequest::new(forwarder.route.name.clone(), org, forwarder.id.as_str(), &parts, body);
        let refusal = match self.try_deliver(live, forwarder, &stored, parts).await {
            Ok(response) if response.status().is_server_error() => Refusal::new(Code::AnswerLost, Run::Unknown),
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let Some(links) = self.links.get() else {
            return Err(refusal);
        };
        if links.defer(stored).await {
            let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(b"{\"state\":\"deferred\"}")));
            *response.status_mut() = StatusCode::ACCEPTED;
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            return Ok(response);
        }
        // The request may have been stored although the reply of the store was lost, so it may still run.
        Err(Refusal::new(refusal.code(), Run::Unknown))
    }

    async fn try_deliver(
        &self,
        live: &LiveState,
        forwarder: Forwarder,
        stored: &DeferredRequest,
        parts: Parts,
    ) -> Result<Response<ResponseBody>, Refusal> {
        if let Some(org) = &stored.org {
            self.admit(live, org).await?;
        }
        forwarder.run(parts, Payload::Buffered(stored.body.clone())).await
    }

    /// Tries to deliver a stored request. The store must keep it unless the result is [`DeliveryOutcome::Delivered`].
    pub async fn deliver(&self, stored: &DeferredRequest) -> DeliveryOutcome {
        let live = self.live.load_full();
        let route = live.snapshot.routes.by_name(&stored.route);
        let (Some(route), Some(id), Some(parts)) = (route, RequestId::parse(&stored.request_id), stored.to_parts())
        else {
            return DeliveryOutcome::RetryLater;
        };
        let deadline = Deadline::after(Instant::now(), route.deadline);
        let Ok(forwarder) = self.build_forwarder(&live, Arc::clone(route), id, deadline) else {
            return DeliveryOutcome::RetryLater;
        };
        let forwarder = Forwarder {
            caller: stored.org.clone(),
            ..forwarder
        };
        match self.try_deliver(&live, forwarder, stored, parts).await {
            Ok(response) if !response.status().is_server_error() => DeliveryOutcome::Delivered,
            _ => DeliveryOutcome::RetryLater,
        }
    }
}
