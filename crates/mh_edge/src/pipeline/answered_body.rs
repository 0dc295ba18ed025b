use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::caller_stream::CallerSocket;
use crate::{BodyError, ResponseBody};

/// Response body that reports to the connection when the HTTP library has taken all of it.
#[derive(Debug)]
pub(crate) struct AnsweredBody {
    body: ResponseBody,
    socket: Arc<CallerSocket>,
}

impl AnsweredBody {
    pub(crate) fn new(body: ResponseBody, socket: Arc<CallerSocket>) -> Self {
        Self { body, socket }
    }
}

impl Drop for AnsweredBody {
    fn drop(&mut self) {
        self.socket.on_answered();
    }
}

impl Body for AnsweredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
