use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};
use mh_peer::{Operation, OperationAnswer};
use mh_types::{Code, OrgName, Run};
use tokio::time::Instant;

use super::Edge;
use crate::deadline::Deadline;
use crate::forward::{Forwarder, OperationForwarder};
use crate::headers::{IDEMPOTENCY_HEADER, to_pairs, to_parts};
use crate::operations::to_response;
use crate::refusal::Refusal;
use crate::request_id::RequestId;
use crate::response_body::ResponseBody;

impl Edge {
    /// Handles a request of an at-most-once route.
    pub(super) async fn answer_operation(
        &self,
        forward: Forwarder,
        org: Option<OrgName>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let not_run = |code| Refusal::new(code, Run::NotRun);
        let operation_id = req
            .headers()
            .get(IDEMPOTENCY_HEADER)
            .ok_or_else(|| not_run(Code::OperationIdMissing))?;
        let operation_id = operation_id
            .to_str()
            .map_err(|_| not_run(Code::OperationIdInvalid))?
            .to_owned();
        let (forward, parts, body) = self.read_and_confirm(forward, req).await?;
        let operation = Operation {
            route: forward.route.name.clone(),
            org,
            id: operation_id,
            request_id: forward.id.as_str().to_owned(),
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: to_pairs(&parts.headers),
            body: body.clone(),
            deadline: forward.deadline.left(Instant::now()),
            claim: None,
        };
        let forwarder = OperationForwarder { forward, parts, body };
        match self.operations.decide(self.links.get(), operation, forwarder).await {
            OperationAnswer::Answered { status, headers, body } => Ok(to_response(status, &headers, body)),
            OperationAnswer::Refused { code, run } => Err(Refusal::new(code, run)),
        }
    }

    /// Decides and runs an operation that another VM forwarded because its id or its claim names this VM.
    pub async fn operate(&self, operation: Operation) -> OperationAnswer {
        let refused = |code| OperationAnswer::Refused {
            code,
            run: Run::Unknown,
        };
        let live = self.live.load_full();
        let Some(route) = live.snapshot.routes.by_name(&operation.route) else {
            return refused(Code::NoRoute);
        };
        let Some(id) = RequestId::parse(&operation.request_id) else {
            return refused(Code::PeerMessageInvalid);
        };
        let deadline = Deadline::after(Instant::now(), operation.deadline);
        let Some(parts) = to_parts(&operation) else {
            return refused(Code::PeerMessageInvalid);
        };
        let forward = match self.forward(&live, Arc::clone(route), id, deadline) {
            Ok(forward) => forward,
            Err(code) => return refused(code),
        };
        let forwarder = OperationForwarder {
            forward,
            parts,
            body: operation.body.clone(),
        };
        self.operations.decide_forwarded(operation, forwarder).await
    }
}
