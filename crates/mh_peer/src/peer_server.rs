use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::Error;
use mh_once::ClaimRow;
use mh_types::{Code, Incarnation, Revision, Run};
use tokio::runtime::Handle;

use crate::codec::{read_headers, read_hello, read_parts, write_headers, write_hello, write_parts};
use crate::peer_capnp::{operation, peer};
use crate::{Exchange, Operation, OperationAnswer, PeerHandler};

/// Serves the calls of one peer connection.
pub(crate) struct PeerServer {
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) runtime: Handle,
}

impl peer::Server for PeerServer {
    async fn exchange(self: Rc<Self>, req: peer::ExchangeParams, mut res: peer::ExchangeResults) -> Result<(), Error> {
        let req = req.get()?;
        let exchange = Exchange {
            from: read_hello(req.get_from()?)?,
            parts: read_parts(req.get_parts()?)?,
        };
        let answer = self.handler.exchange(exchange);
        write_hello(&answer.from, res.get().init_from());
        write_parts(&answer.parts, res.get().init_parts(answer.parts.len() as u32));
        Ok(())
    }

    async fn changes(self: Rc<Self>, req: peer::ChangesParams, mut res: peer::ChangesResults) -> Result<(), Error> {
        let changes = self.handler.changes(Revision(req.get()?.get_since()));
        let mut out = res.get();
        out.set_revision(changes.revision.0);
        out.set_whole(changes.whole);
        let mut rows = out.init_rows(changes.rows.len() as u32);
        for (i, row) in (0..).zip(&changes.rows) {
            rows.set(i, row.as_str());
        }
        Ok(())
    }

    async fn operate(self: Rc<Self>, req: peer::OperateParams, mut res: peer::OperateResults) -> Result<(), Error> {
        let req = req.get()?.get_operation()?;
        let org = req.get_organisation()?.to_str()?;
        let operation = Operation {
            route: req.get_route()?.to_str()?.into(),
            org: (!org.is_empty()).then(|| org.into()),
            id: req.get_operation_id()?.to_string()?,
            request_id: req.get_request_id()?.to_string()?,
            method: req.get_method()?.to_string()?,
            target: req.get_target()?.to_string()?,
            headers: read_headers(req.get_headers()?)?,
            body: bytes::Bytes::copy_from_slice(req.get_body()?),
            deadline: Duration::from_millis(req.get_deadline_ms()),
            claim: read_claim(req)?,
        };
        // The operation runs on the request threads, where it continues after the peer's connection ends.
        let answer = self.runtime.spawn(self.handler.operate(operation)).await;
        let answer = answer.unwrap_or(OperationAnswer::Refused {
            code: Code::Internal,
            run: Run::Unknown,
        });
        let mut out = res.get().init_answer();
        match answer {
            OperationAnswer::Answered { status, headers, body } => {
                out.set_status(status);
                out.set_body(&body);
                write_headers(&headers, out.init_headers(headers.len() as u32));
            }
            OperationAnswer::Refused { code, run } => {
                out.set_code(code.number());
                out.set_not_run(run == Run::NotRun);
            }
        }
        Ok(())
    }
}

fn read_claim(req: operation::Reader<'_>) -> Result<Option<ClaimRow>, Error> {
    let vm = req.get_claim_vm()?.to_str()?;
    Ok((!vm.is_empty()).then(|| ClaimRow {
        vm: vm.into(),
        incarnation: Incarnation(req.get_claim_incarnation()),
        claimed_ms: req.get_claimed_ms(),
    }))
}
