use std::marker::PhantomData;

use mh_types::{Code, Run};

/// State of an attempt before any byte of the request has left this VM.
#[derive(Debug)]
pub(super) struct Unsent;

/// State of an attempt whose request may have reached a backend server.
#[derive(Debug)]
pub(super) struct Sent;

/// Attempt to send one request to one server, as a typestate.
///
/// Only an unsent attempt or an explicit refusal by the server ends as not run, so that such a refusal is never wrong.
#[derive(Debug)]
pub(super) struct Attempt<S>(PhantomData<S>);

/// Result of an attempt that ended without an answer to pass on.
#[derive(Debug)]
pub(super) struct Failure {
    code: Code,
    run: Run,
}

impl Failure {
    pub(super) fn code(&self) -> Code {
        self.code
    }

    pub(super) fn run(&self) -> Run {
        self.run
    }
}

#[expect(
    clippy::unused_self,
    reason = "consuming the earlier state is the point of the typestate"
)]
impl Attempt<Unsent> {
    pub(super) fn new() -> Self {
        Self(PhantomData)
    }

    /// Marks the request as sent; called before the first byte is handed to the connection.
    pub(super) fn send(self) -> Attempt<Sent> {
        Attempt(PhantomData)
    }

    /// Ends the attempt before anything was sent.
    pub(super) fn not_run(self, code: Code) -> Failure {
        Failure { code, run: Run::NotRun }
    }
}

#[expect(
    clippy::unused_self,
    reason = "consuming the earlier state is the point of the typestate"
)]
impl Attempt<Sent> {
    /// Returns to the unsent state: the connection returned the message, which proves that no byte of it was written.
    pub(super) fn handed_back<T>(self, _message: &T) -> Attempt<Unsent> {
        Attempt(PhantomData)
    }

    /// Ends the attempt as not run, as stated by the server.
    pub(super) fn refused_by_server(self, code: Code) -> Failure {
        Failure { code, run: Run::NotRun }
    }

    /// Ends the attempt when nothing indicates whether the request ran.
    pub(super) fn lost(self, code: Code) -> Failure {
        Failure {
            code,
            run: Run::Unknown,
        }
    }
}
