use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use mh_limit::{Admission, Ask, LimitChange, Limits, Outbox, Stated, Target};
use mh_route::objects::Placement;
use mh_sync::Mutex;
use mh_types::{Event, ServerName, VmName, emit};
use tokio::time::Instant;

use crate::LimitPeers;

/// Longest time between a question and the use of its answer. After it, the owner of the limit counts on other requests.
const ADMISSION_LIFETIME: Duration = Duration::from_millis(500);

/// The limits that servers state, as requests and control loops use them.
///
/// While no server states a limit, requests read one atomic flag. Otherwise they lock the decision state for the few
/// steps of one decision.
#[derive(Debug)]
pub struct LimitGate {
    limits: Mutex<Limits>,
    has_limits: AtomicBool,
    peers: OnceLock<Arc<dyn LimitPeers>>,
}

impl LimitGate {
    pub(crate) fn new(vm: VmName) -> Self {
        Self {
            limits: Mutex::new(Limits::new(vm)),
            has_limits: AtomicBool::new(false),
            peers: OnceLock::new(),
        }
    }

    /// Runs `f` with the decision state.
    pub fn with<T>(&self, f: impl FnOnce(&mut Limits) -> T) -> T {
        let mut limits = self.limits.lock();
        let out = f(&mut limits);
        self.has_limits.store(!limits.is_empty(), Ordering::Relaxed);
        out
    }

    /// Sets the access to other VMs.
    pub fn set_peers(&self, peers: Arc<dyn LimitPeers>) {
        // A second call has no effect.
        let _ = self.peers.set(peers);
    }

    /// Decides whether a request may be sent to the server of `placement`.
    ///
    /// # Errors
    ///
    /// The time after which the server may admit a request.
    pub(super) async fn admit(&self, placement: &Placement) -> Result<(), Duration> {
        if !self.has_limits.load(Ordering::Relaxed) {
            return Ok(());
        }
        let spec = placement.spec();
        let target = Target {
            server: spec.name.clone(),
            run: placement.run(),
            domain: spec.domain.clone(),
            region: spec.region.clone(),
        };
        let asked_at = Instant::now();
        let mut admission = self.with(|limits| limits.admit(asked_at, &target));
        if let Admission::Ask(owner, ask) = &admission {
            admission = self.ask(owner, ask).await;
        }
        match admission {
            Admission::Admitted if Instant::now() <= asked_at + ADMISSION_LIFETIME => Ok(()),
            Admission::Full(left) => Err(left),
            // The admission is outdated.
            Admission::Admitted | Admission::Ask(..) => Err(Duration::ZERO),
        }
    }

    async fn ask(&self, owner: &VmName, ask: &Ask) -> Admission {
        let reply = match self.peers.get() {
            Some(peers) => peers.ask(owner, ask).await,
            None => None,
        };
        self.with(|limits| limits.on_reply(Instant::now(), owner, ask, reply.as_ref()))
    }

    /// Handles a message of another VM and returns the replies.
    pub(crate) fn on_msg(&self, from: &VmName, msg: mh_limit::Msg, is_listed: impl Fn(&ServerName) -> bool) -> Outbox {
        let now = Instant::now();
        let (out, changes) = self.with(|limits| limits.on_msg(now, from, msg, is_listed));
        for change in &changes {
            log_change(change, from.as_str());
        }
        out
    }

    /// Records what an answer says about the limit of its server.
    pub(super) fn on_answer(&self, placement: &Placement, sent_at: Instant, stated: Stated) {
        let is_plain = matches!(stated, Stated::Nothing | Stated::Unknown);
        if is_plain && !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let server = &placement.spec().name;
        if let Stated::Invalid(e) = stated {
            emit!(Event::ServerLimitInvalid, server = server, error = e);
        }
        let now = Instant::now();
        let change = self.with(|limits| limits.on_answer(now, server, placement.run(), sent_at, stated));
        if let Some(change) = change {
            log_change(&change, "answer");
        }
    }
}

/// Logs a change of a limit; `source` is where this VM learned it.
fn log_change(change: &LimitChange, source: &str) {
    let per_s = |limit: Option<mh_limit::ServerLimit>| limit.map_or_else(|| "none".to_owned(), |l| l.to_string());
    emit!(
        Event::ServerLimitChanged,
        server = change.server,
        per_s = per_s(change.limit),
        before = per_s(change.before),
        change = change.change,
        source = source
    );
}
