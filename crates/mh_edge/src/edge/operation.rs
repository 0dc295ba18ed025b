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
        forwarder: Forwarder,
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
        let (forwarder, parts, body) = self.read_and_confirm(forwarder, req).await?;
        let operation = Operation {
            route: forwarder.route.name.clone(),
            org,
            id: operation_id,
            request_id: forwarder.id.as_str().to_owned(),
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: to_pairs(&parts.headers),
            body: body.clone(),
            deadline: forwarder.deadline.left(Instant::now()),
            claim: None,
        };
        let operation_forwarder = OperationForwarder { forwarder, parts, body };
        match self
            .operations
            .execute(self.links.get(), operation, operation_forwarder)
            .await
        {
            OperationAnswer::Answered { status, headers, body } => Ok(to_response(status, &headers, body)),
            OperationAnswer::Refused { code, run } => Err(Refusal::new(code, run)),
        }
    }

    /// Runs at most once an operation that another VM forwarded because its id or its claim names this VM.
    pub async fn run_forwarded_operation(&self, operation: Operation) -> OperationAnswer {
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
        let forwarder = match self.build_forwarder(&live, Arc::clone(route), id, deadline) {
            Ok(forwarder) => Forwarder {
                caller: operation.org.clone(),
                ..forwarder
            },
            Err(code) => return refused(code),
        };
        let operation_forwarder = OperationForwarder {
            forwarder,
            parts,
            body: operation.body.clone(),
        };
        self.operations.execute_forwarded(operation, operation_forwarder).await
    }
}
