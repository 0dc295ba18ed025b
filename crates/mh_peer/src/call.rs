use std::net::SocketAddr;

use mh_types::{Code, Revision};
use tokio::sync::oneshot;

use crate::{Changes, Exchange, Operation, OperationAnswer, OperationError};

/// An outgoing call to a peer, with the channel for its result.
#[derive(Debug)]
pub(crate) enum Call {
    Exchange {
        to: SocketAddr,
        exchange: Exchange,
        tx: oneshot::Sender<Result<Exchange, Code>>,
    },
    Changes {
        to: SocketAddr,
        since: Revision,
        tx: oneshot::Sender<Result<Changes, Code>>,
    },
    Operate {
        to: SocketAddr,
        operation: Box<Operation>,
        tx: oneshot::Sender<Result<OperationAnswer, OperationError>>,
    },
}
