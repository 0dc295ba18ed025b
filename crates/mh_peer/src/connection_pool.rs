use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_util::io::{BufReader, BufWriter};
use mh_types::{Code, Revision, Run};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::decode::{read_headers, read_hello, read_parts, write_headers, write_hello, write_parts};
use crate::peer_capnp::peer;
use crate::{Changes, Exchange, Operation, OperationAnswer, OperationLost};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a heartbeat's answer; one-way delay between regions is 12 ms today.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for settings, which may be the whole set.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that an operation's answer may take on its way back, beyond the operation's deadline.
const OPERATE_SLACK: Duration = Duration::from_millis(500);

/// Connections to peers, one for each address; they live on the peer thread.
#[derive(Default)]
pub(crate) struct Clients {
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

/// A connection to a peer; it is closed when the last call on it has ended and it is not kept for further ones.
struct Connection {
    client: peer::Client,
    system: JoinHandle<capnp::Result<()>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The RPC system holds the socket, and would wait for a peer that never answers.
        self.system.abort();
    }
}

impl Clients {
    async fn get(&self, to: SocketAddr) -> Result<Rc<Connection>, Code> {
        if let Some(open) = self.open.borrow().get(&to) {
            return Ok(Rc::clone(open));
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = connect.ok().and_then(Result::ok).ok_or(Code::PeerUnreachable)?;
        let _ = stream.set_nodelay(true);
        let (rx, tx) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            BufReader::new(rx.compat()),
            BufWriter::new(tx.compat_write()),
            Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let system = tokio::task::spawn_local(system);
        let connection = Rc::new(Connection { client, system });
        self.open.borrow_mut().insert(to, Rc::clone(&connection));
        Ok(connection)
    }

    fn forget(&self, to: SocketAddr) {
        self.open.borrow_mut().remove(&to);
    }

    async fn within<T>(
        &self,
        to: SocketAddr,
        limit: Duration,
        call: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, Code> {
        let result = match tokio::time::timeout(limit, call).await {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(e)) if e.kind == capnp::ErrorKind::Disconnected => Err(Code::PeerUnreachable),
            Ok(Err(_)) => Err(Code::PeerMessageInvalid),
            Err(_) => Err(Code::PeerUnreachable),
        };
        self.forget(to);
        result
    }

    pub(crate) async fn exchange(&self, to: SocketAddr, exchange: &Exchange) -> Result<Exchange, Code> {
        let connection = self.get(to).await?;
        let mut req = connection.client.exchange_request();
        write_hello(&exchange.from, req.get().init_from());
        write_parts(&exchange.parts, req.get().init_parts(exchange.parts.len() as u32));
        let call = async {
            let res = req.send().promise.await?;
            let res = res.get()?;
            Ok(Exchange {
                from: read_hello(res.get_from()?)?,
                parts: read_parts(res.get_parts()?)?,
            })
        };
        self.within(to, EXCHANGE_TIMEOUT, call).await
    }

    pub(crate) async fn changes(&self, to: SocketAddr, since: Revision) -> Result<Changes, Code> {
        let connection = self.get(to).await?;
        let mut req = connection.client.changes_request();
        req.get().set_since(since.0);
        let call = async {
            let res = req.send().promise.await?;
            let res = res.get()?;
            let rows = res
                .get_rows()?
                .iter()
                .map(|row| Ok(row?.to_string()?))
                .collect::<capnp::Result<_>>()?;
            Ok(Changes {
                revision: Revision(res.get_revision()),
                whole: res.get_whole(),
                rows,
            })
        };
        self.within(to, CHANGES_TIMEOUT, call).await
    }

    pub(crate) async fn operate(
        &self,
        to: SocketAddr,
        operation: &Operation,
    ) -> Result<OperationAnswer, OperationLost> {
        let connection = self.get(to).await.map_err(|code| OperationLost { code, sent: false })?;
        let mut req = connection.client.operate_request();
        let mut out = req.get().init_operation();
        out.set_route(operation.route.as_str());
        out.set_organisation(operation.org.as_ref().map_or("", |org| org.as_str()));
        out.set_operation_id(operation.id.as_str());
        out.set_request_id(operation.request_id.as_str());
        out.set_method(operation.method.as_str());
        out.set_target(operation.target.as_str());
        out.set_body(&operation.body);
        out.set_deadline_ms(operation.deadline.as_millis() as u64);
        if let Some(claim) = &operation.claim {
            out.set_claim_vm(claim.vm.as_str());
            out.set_claim_incarnation(claim.incarnation.0);
            out.set_claimed_ms(claim.claimed_ms);
        }
        write_headers(&operation.headers, out.init_headers(operation.headers.len() as u32));
        let call = async {
            let res = req.send().promise.await?;
            let answer = res.get()?.get_answer()?;
            if answer.get_code() != 0 {
                let code = Code::from_number(answer.get_code()).unwrap_or(Code::Internal);
                let run = if answer.get_not_run() {
                    Run::NotRun
                } else {
                    Run::Unknown
                };
                return Ok(OperationAnswer::Refused { code, run });
            }
            Ok(OperationAnswer::Answered {
                status: answer.get_status(),
                headers: read_headers(answer.get_headers()?)?,
                body: bytes::Bytes::copy_from_slice(answer.get_body()?),
            })
        };
        let answer = self.within(to, operation.deadline + OPERATE_SLACK, call).await;
        answer.map_err(|code| OperationLost { code, sent: true })
    }
}
