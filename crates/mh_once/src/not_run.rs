use mh_types::{Code, Run};

/// Proof that an attempt ended before anything was sent.
///
/// Only [`Attempt<Ready>::abandon`](crate::Attempt::abandon) creates one, so an attempt that was sent cannot be
/// refused as "not run".
///
/// ```compile_fail,E0423
/// let forged = mh_once::NotRun(());
/// ```
#[derive(Debug)]
#[must_use]
pub struct NotRun(pub(crate) ());

impl NotRun {
    /// Refusal to send to the caller, with `code` as its reason.
    pub fn refusal(self, code: Code) -> (Code, Run) {
        (code, Run::NotRun)
    }
}
