use std::time::Duration;

use mh_budget::{Answer, Decision, Limiter};
use mh_types::VmName;
use tokio::time::Instant;

/// Takes one token from a rate limit, here or at another VM that has tokens left; `ask` sends the query to that VM.
///
/// # Errors
///
/// The request was refused; the error is the wait until the limit may allow it, if known.
pub async fn admit_request<F: Future<Output = Option<Answer>>>(
    limiter: &Limiter,
    ask: impl Fn(VmName) -> F,
) -> Result<(), Option<Duration>> {
    let mut decision = limiter.decide(Instant::now, 1);
    let mut asked = 0;
    loop {
        let vm = match decision {
            Decision::Admit => return Ok(()),
            Decision::Refuse { retry_after } => return Err(retry_after),
            Decision::AskPeer(vm) => vm,
        };
        let answer = ask(vm.clone()).await;
        limiter.on_answer(&vm, answer);
        if answer.is_some_and(|answer| answer.admitted) {
            return Ok(());
        }
        asked += 1;
        decision = limiter.decide_again(Instant::now, 1, asked);
    }
}
