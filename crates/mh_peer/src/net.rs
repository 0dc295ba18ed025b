use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_util::io::{BufReader, BufWriter};
use mh_types::{Code, Revision};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::call::Call;
use crate::connection_pool::ConnectionPool;
use crate::peer_capnp::peer;
use crate::peer_server::PeerServer;
use crate::{Changes, Exchange, Hello, Operation, OperationAnswer, OperationError, Part, PeerHandler};

/// Calls that may wait for the peer thread; further ones fail as unreachable.
const MAX_QUEUED_CALLS: usize = 4096;
/// Delay before the next `accept` after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Handle to the thread that exchanges messages with peers; the thread ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct PeerNet {
    calls: mpsc::Sender<Call>,
}

impl PeerNet {
    /// Starts the peer thread. Must be called within the runtime that is to run operations.
    ///
    /// # Errors
    ///
    /// The I/O error of preparing the socket or of starting the runtime or the thread.
    pub fn start(listener: std::net::TcpListener, handler: Arc<dyn PeerHandler>) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let (calls, rx) = mpsc::channel(MAX_QUEUED_CALLS);
        let runtime = Handle::current();
        let local = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("peer".to_owned()).spawn(move || {
            let tasks = LocalSet::new();
            tasks.spawn_local(accept_connections(listener, handler, runtime));
            local.block_on(tasks.run_until(run_calls(rx)));
        })?;
        Ok(Self { calls })
    }

    /// Sends a call to the peer thread; `None` when the queue is full or closed, `Some(None)` when the call was dropped
    /// without a result.
    async fn call<T>(&self, new_call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Option<Option<T>> {
        let (tx, rx) = oneshot::channel();
        self.calls.try_send(new_call(tx)).ok()?;
        Some(rx.await.ok())
    }

    /// Sends messages to a peer and returns the peer's.
    ///
    /// # Errors
    ///
    /// [`Code::PeerUnreachable`] or [`Code::PeerMessageInvalid`].
    pub async fn exchange(&self, to: SocketAddr, from: Hello, parts: Vec<Part>) -> Result<Exchange, Code> {
        let result = self
            .call(|tx| Call::Exchange {
                to,
                exchange: Exchange { from, parts },
                tx,
            })
            .await;
        result.flatten().unwrap_or(Err(Code::PeerUnreachable))
    }

    /// Asks a peer for the changes to the settings after `since`.
    ///
    /// # Errors
    ///
    /// [`Code::PeerUnreachable`] or [`Code::PeerMessageInvalid`].
    pub async fn changes(&self, to: SocketAddr, since: Revision) -> Result<Changes, Code> {
        let result = self.call(|tx| Call::Changes { to, since, tx }).await;
        result.flatten().unwrap_or(Err(Code::PeerUnreachable))
    }

    /// Sends an operation to the VM that owns its id.
    ///
    /// # Errors
    ///
    /// [`OperationError`] with [`Code::PeerUnreachable`] or [`Code::PeerMessageInvalid`].
    pub async fn operate(&self, to: SocketAddr, operation: Operation) -> Result<OperationAnswer, OperationError> {
        let unreachable = |sent| OperationError {
            code: Code::PeerUnreachable,
            sent,
        };
        match self
            .call(|tx| Call::Operate {
                to,
                operation: Box::new(operation),
                tx,
            })
            .await
        {
            Some(result) => result.unwrap_or(Err(unreachable(true))),
            None => Err(unreachable(false)),
        }
    }
}

async fn accept_connections(listener: std::net::TcpListener, handler: Arc<dyn PeerHandler>, runtime: Handle) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(
                stream,
                PeerServer {
                    handler: Arc::clone(&handler),
                    runtime: runtime.clone(),
                },
            ),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn serve_connection(stream: TcpStream, server: PeerServer) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader.compat()),
        BufWriter::new(writer.compat_write()),
        Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let client: peer::Client = capnp_rpc::new_client(server);
    tokio::task::spawn_local(async move {
        if let Err(e) = RpcSystem::new(Box::new(network), Some(client.client)).await {
            mh_types::emit!(mh_types::Event::PeerMessageInvalid, error = e);
        }
    });
}

async fn run_calls(mut calls: mpsc::Receiver<Call>) {
    let pool = Rc::new(ConnectionPool::default());
    while let Some(call) = calls.recv().await {
        let pool = Rc::clone(&pool);
        // `send` fails when the caller no longer waits for the result, which is then discarded.
        tokio::task::spawn_local(async move {
            match call {
                Call::Exchange { to, exchange, tx } => drop(tx.send(pool.exchange(to, &exchange).await)),
                Call::Changes { to, since, tx } => drop(tx.send(pool.changes(to, since).await)),
                Call::Operate { to, operation, tx } => drop(tx.send(pool.operate(to, &operation).await)),
            }
        });
    }
}
