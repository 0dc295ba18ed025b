//! Concurrent execution of the requests that a caller pipelines on an HTTP/1.1 connection.
//!
//! [`ReadAhead`] decides, without I/O, which bytes the HTTP library may see and which requests behind the running one may
//! be started. The connection itself is in [`crate::caller_stream`].

mod answered_body;
mod bounds;
mod handler;
mod load;
mod message_splitter;
mod read_ahead;
mod request_head;

pub(crate) use answered_body::AnsweredBody;
pub use bounds::PipelineBounds;
pub use handler::{Pipelining, StartAhead, may_run_concurrently};
pub use load::PipelineLoad;
pub(crate) use load::StartPermit;
pub(crate) use read_ahead::{ReadAhead, StartedHead};

#[cfg(test)]
#[path = "../tests/unit/pipeline.rs"]
mod tests;
