use std::time::Duration;

use mh_types::VmName;

/// Outcome of rate limiting for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run; its tokens have been taken.
    Admit,
    /// The request is refused as not run, with [`Code::RateExceeded`](mh_types::Code::RateExceeded).
    Refuse {
        /// Time until the tokens may be available; `None` if the request costs more than this VM's burst.
        retry_after: Option<Duration>,
    },
    /// Another VM decides: ask it, and pass its answer to [`Limiter::on_answer`](crate::Limiter::on_answer).
    AskPeer(VmName),
}
