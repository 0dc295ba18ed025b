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

use crate::codec::{read_headers, read_hello, read_parts, write_headers, write_hello, write_parts};
use crate::peer_capnp::peer;
use crate::{Changes, Exchange, Operation, OperationAnswer, OperationError};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to an exchange; allows for a one-way delay of 12 ms between regions.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for changes, which may be every settings document.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after an operation's deadline in which its answer may still arrive.
const OPERATE_GRACE: Duration = Duration::from_millis(500);

/// Connections to peers, one per address; used only on the peer thread.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

/// A connection to a peer; it closes once the pool has dropped it and the last call on it has ended.
struct Connection {
    client: peer::Client,
    rpc_task: JoinHandle<capnp::Result<()>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The RPC system owns the socket and would otherwise wait for a peer that never answers.
        self.rpc_task.abort();
    }
}

impl ConnectionPool {
    async fn get_or_connect(&self, to: SocketAddr) -> Result<Rc<Connection>, Code> {
        if let Some(connection) = self.connections.borrow().get(&to) {
            return Ok(Rc::clone(connection));
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = connect.ok().and_then(Result::ok).ok_or(Code::PeerUnreachable)?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            BufReader::new(reader.compat()),
            BufWriter::new(writer.compat_write()),
            Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let rpc_task = tokio::task::spawn_local(system);
        let connection = Rc::new(Connection { client, rpc_task });
        self.connections.borrow_mut().insert(to, Rc::clone(&connection));
        Ok(connection)
    }

    fn evict(&self, to: SocketAddr) {
        self.connections.borrow_mut().remove(&to);
    }

    /// Awaits `call` for at most `limit`; on an error or timeout, later calls use a new connection.
    async fn with_timeout<T>(
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
        self.evict(to);
        result
    }

    pub(crate) async fn exchange(&self, to: SocketAddr, exchange: &Exchange) -> Result<Exchange, Code> {
        let connection = self.get_or_connect(to).await?;
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
        self.with_timeout(to, EXCHANGE_TIMEOUT, call).await
    }

    pub(crate) async fn changes(&self, to: SocketAddr, since: Revision) -> Result<Changes, Code> {
        let connection = self.get_or_connect(to).await?;
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
        self.with_timeout(to, CHANGES_TIMEOUT, call).await
    }

    pub(crate) async fn operate(
        &self,
        to: SocketAddr,
        operation: &Operation,
    ) -> Result<OperationAnswer, OperationError> {
        let connection = self
            .get_or_connect(to)
            .await
            .map_err(|code| OperationError { code, sent: false })?;
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
        let answer = self.with_timeout(to, operation.deadline + OPERATE_GRACE, call).await;
        answer.map_err(|code| OperationError { code, sent: true })
    }
}
