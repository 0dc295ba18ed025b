use std::sync::Arc;

use arc_swap::ArcSwap;
use mh_types::VmName;
use tokio::time::Instant;

use crate::budget::MICROTOKENS_PER_TOKEN;
use crate::fallback::Fallback;
use crate::{Answer, Decision, Meter};

/// Maximum number of VMs that are asked about one request; each adds a round trip to the caller's latency.
pub const MAX_PEER_ASKS: u8 = 3;

/// Divisor from a peer's tokens to the tokens that one VM asks of it before its next answer.
const CREDIT_DIVISOR: u64 = 2;

/// Interface of a [`BudgetHolder`](crate::BudgetHolder) to the request path: a meter, and the VMs to ask when it is
/// empty.
///
/// Clones share one state. All methods are lock-free.
#[derive(Clone, Debug)]
pub struct Limiter {
    meter: Meter,
    fallback: Arc<ArcSwap<Fallback>>,
}

impl Limiter {
    pub(crate) fn new(meter: Meter) -> Self {
        Self {
            meter,
            fallback: Arc::new(ArcSwap::from_pointee(Fallback::Nobody)),
        }
    }

    /// Decides on a request from this VM's callers that costs `n` tokens.
    ///
    /// The clock is read before and after tokens are taken; see [`Meter::try_take_with`].
    pub fn decide(&self, clock: impl Fn() -> Instant, n: u32) -> Decision {
        self.meter.record_requested(n);
        if self.meter.try_take_with(&clock, n) {
            return Decision::Admit;
        }
        self.ask_or_refuse(clock, n)
    }

    /// Decides again after `asked` VMs have refused or did not answer.
    pub fn decide_again(&self, clock: impl Fn() -> Instant, n: u32, asked: u8) -> Decision {
        if self.meter.try_take_with(&clock, n) {
            return Decision::Admit;
        }
        if asked >= MAX_PEER_ASKS || matches!(**self.fallback.load(), Fallback::Owner(_)) {
            return Decision::Refuse {
                retry_after: self.meter.wait_for(clock(), n),
            };
        }
        self.ask_or_refuse(clock, n)
    }

    /// Decides on a request for another VM that asks.
    pub fn decide_for_peer(&self, clock: impl Fn() -> Instant, n: u32) -> Answer {
        let admitted = self.meter.try_take_with(&clock, n);
        Answer {
            admitted,
            level: self.meter.level_microtokens(clock()) / MICROTOKENS_PER_TOKEN,
        }
    }

    /// Records the answer of a VM that was asked; `None` if there was none in time.
    ///
    /// If the answer was lost, the other VM may have taken tokens. They are not restored, so that nothing is admitted
    /// twice.
    pub fn on_answer(&self, vm: &VmName, answer: Option<Answer>) {
        let credit = answer
            .filter(|answer| answer.admitted)
            .map_or(0, |answer| answer.level / CREDIT_DIVISOR);
        self.fallback.load().set_credit(vm, credit);
    }

    /// The meter.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    pub(crate) fn fallback(&self) -> Arc<Fallback> {
        self.fallback.load_full()
    }

    pub(crate) fn set_fallback(&self, fallback: Fallback) {
        self.fallback.store(Arc::new(fallback));
    }

    fn ask_or_refuse(&self, clock: impl Fn() -> Instant, n: u32) -> Decision {
        match self.fallback.load().target(n) {
            Some(vm) => Decision::AskPeer(vm.clone()),
            None => Decision::Refuse {
                retry_after: self.meter.wait_for(clock(), n),
            },
        }
    }
}
