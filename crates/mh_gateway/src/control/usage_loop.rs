mod messages;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mh_member::MemberState;
use mh_platform::Result;
use mh_sync::Mutex;
use mh_types::{Event, StoreVersion, VmName, emit};
use mh_usage::{CallOutcome, Claiming, Duty, DutyHolder, DutyRow, Fleet, Params, StoredUsage, Token, WindowRecord};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior};

use crate::node::GatewayNode;
use crate::request::machine_wall;
use crate::{Feed, UsageReporter, WriteOutcome};

/// Time between two ticks, well below the gap after which a process counts as paused.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two messages to the holder.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// VMs that send once in [`SEND_INTERVAL`]; with more, each sends less often, to bound what the holder receives.
const VMS_PER_INTERVAL: usize = 100;

/// Time between two reads of the store, or between two claims.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for a response of the platform, which may be slow. Reports of other windows do not wait for it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// The duty of reporting usage, as one VM sees it.
#[derive(Debug)]
pub(crate) struct UsageDuty {
    params: Params,
    reporter: Arc<dyn UsageReporter>,
    duty: Mutex<Duty>,
    reported: AtomicU64,
}

/// Part of the state dump.
#[derive(Debug, Serialize)]
pub(crate) struct UsageView {
    /// The holder that this VM knows.
    holder: Option<VmName>,
    /// Token of this VM, if it holds the duty.
    pub(crate) token: Option<Token>,
    next_window: Option<u64>,
    /// Recorded windows that are not yet reported.
    pub(crate) pending: usize,
    pub(crate) reported: u64,
    /// Counted requests that no VM could report.
    pub(crate) lost: u64,
    counted_windows: usize,
}

/// Result of a call that the loop has started.
enum Done {
    Read(Result<StoredUsage>),
    Claimed(Result<WriteOutcome>),
    Recorded(Vec<u64>, Result<WriteOutcome>),
    Called(Token, u64, CallOutcome),
}

impl UsageDuty {
    pub(crate) fn new(vm: VmName, params: Params, reporter: Arc<dyn UsageReporter>) -> Self {
        Self {
            params,
            reporter,
            duty: Mutex::new(Duty::Waiting(DutyHolder::new(vm, params))),
            reported: AtomicU64::new(0),
        }
    }
}

/// State of the loop between two ticks.
struct UsageLoop {
    node: Arc<GatewayNode>,
    done: UnboundedSender<Done>,
    /// Whether a call of the store is running.
    is_store_busy: bool,
    next_read_at: Instant,
    next_send_at: Instant,
    /// Version of a claim that was written, until the store is read again.
    claimed: Option<StoreVersion>,
    lost: u64,
}

/// Counts, collects and reports usage until the process ends.
pub(crate) async fn run_usage(node: Arc<GatewayNode>) {
    let Some(usage) = node.usage.get() else { return };
    // After a panic of the loop, the results of its calls are gone.
    *usage.duty.lock() = Duty::Waiting(DutyHolder::new(node.cfg.vm.clone(), usage.params));
    let (done, mut results): (_, UnboundedReceiver<Done>) = unbounded_channel();
    let now = Instant::now();
    let mut state = UsageLoop {
        node: Arc::clone(&node),
        done,
        is_store_busy: false,
        next_read_at: now,
        next_send_at: now,
        claimed: None,
        lost: 0,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => state.on_tick(usage, Instant::now()),
            Some(result) = results.recv() => state.on_done(usage, result, Instant::now()),
        }
    }
}

/// Returns the VMs believed alive, and the number of listed VMs.
fn living_vms(node: &GatewayNode) -> (Vec<VmName>, usize) {
    let control = node.control.lock();
    let (deployment, view) = (&control.deployment, control.membership.view());
    let is_up = |vm: &VmName| matches!(view.state(vm), Some(MemberState::Alive | MemberState::Suspect));
    let own = &node.cfg.vm;
    let listed = deployment.vms().map(|vm| &vm.vm).filter(|vm| *vm != own);
    let mut alive: Vec<VmName> = listed.filter(|vm| is_up(vm)).cloned().collect();
    alive.push(own.clone());
    (alive, deployment.vms().count().max(1))
}

impl UsageLoop {
    fn spawn(&mut self, call: impl Future<Output = Done> + Send + 'static) {
        let done = self.done.clone();
        tokio::spawn(async move {
            // The loop has ended if the result cannot be delivered.
            let _ = done.send(call.await);
        });
    }

    fn read_store(&mut self, now: Instant) {
        self.is_store_busy = true;
        self.next_read_at = now + STORE_INTERVAL;
        let node = Arc::clone(&self.node);
        self.spawn(async move { Done::Read(node.source.read_usage().await) });
    }

    fn on_tick(&mut self, usage: &UsageDuty, now: Instant) {
        let node = Arc::clone(&self.node);
        let clock = node.gateway.usage().with(|counter, clock| {
            clock.observe(now, machine_wall());
            (clock.wall(now), counter.lost())
        });
        let Some((wall, lost)) = clock else { return };
        if lost > self.lost {
            emit!(
                Event::UsageCountsMissing,
                requests = lost - self.lost,
                why = "not handed over"
            );
            self.lost = lost;
        }
        let (alive, listed) = living_vms(&node);
        let fleet = Fleet { alive: &alive, listed };
        let known = node.known_usage_duty();
        if now >= self.next_send_at {
            self.next_send_at = now + SEND_INTERVAL * (listed.div_ceil(VMS_PER_INTERVAL) as u32);
            self.next_send_at = self.next_send_at.min(now + usage.params.window.max(SEND_INTERVAL));
            node.send_usage(now);
        }
        let may_claim = node.control.lock().deployment.has_read(Feed::Vms) && !node.gateway.is_leaving();
        let mut duty = usage.duty.lock();
        match &mut *duty {
            Duty::Waiting(waiting) => {
                let should_claim = may_claim && waiting.should_claim(now, known.as_ref(), fleet);
                if should_claim && !self.is_store_busy && now >= self.next_read_at {
                    self.read_store(now);
                }
            }
            Duty::Claiming(claiming) => {
                if self.is_store_busy {
                    return;
                }
                if self.claimed.is_none() {
                    self.claim(claiming);
                } else if now >= self.next_read_at {
                    self.read_store(now);
                }
            }
            Duty::Holding(holding) => {
                for window in holding.expire(wall) {
                    emit!(Event::UsageReportDropped, window = window);
                }
                holding.on_tick(now, known.as_ref(), fleet);
                let should_check = holding.should_check(now, wall, fleet);
                if should_check && !self.is_store_busy && now >= self.next_read_at {
                    self.read_store(now);
                } else if !self.is_store_busy
                    && let Some(record) = holding.next_record(wall, fleet)
                {
                    let removed = holding.removable_windows(wall);
                    self.record(holding.row().clone(), record, removed);
                }
                let token = holding.token();
                while let Some(record) = holding.next_call(now) {
                    self.call(usage, token, record);
                }
            }
        }
    }

    fn claim(&mut self, claiming: &DutyHolder<Claiming>) {
        self.is_store_busy = true;
        let (row, expected, node) = (claiming.row().clone(), claiming.expected(), Arc::clone(&self.node));
        self.spawn(async move { Done::Claimed(node.source.claim_usage_duty(&row, expected).await) });
    }

    fn record(&mut self, row: DutyRow, record: WindowRecord, removed: Vec<u64>) {
        self.is_store_busy = true;
        let node = Arc::clone(&self.node);
        self.spawn(async move {
            let outcome = node.source.record_usage(&row, &record, &removed).await;
            Done::Recorded(removed, outcome)
        });
    }

    fn call(&mut self, usage: &UsageDuty, token: Token, record: Arc<WindowRecord>) {
        let (reporter, vm) = (Arc::clone(&usage.reporter), self.node.cfg.vm.clone());
        self.spawn(async move {
            let outcome = tokio::time::timeout(RESPONSE_TIMEOUT, reporter.report(&vm, token, &record)).await;
            Done::Called(token, record.window, outcome.unwrap_or(CallOutcome::Unknown))
        });
    }

    fn on_done(&mut self, usage: &UsageDuty, done: Done, now: Instant) {
        let node = Arc::clone(&self.node);
        let wall = node
            .gateway
            .usage()
            .with(|_, clock| clock.wall(now))
            .unwrap_or_default();
        let known = node.known_usage_duty();
        let mut duty = usage.duty.lock();
        let before = token_of(&duty);
        // The duty is put back below; nothing else can see the placeholder while the lock is held.
        let placeholder = Duty::Waiting(DutyHolder::new(node.cfg.vm.clone(), usage.params));
        let current = std::mem::replace(&mut *duty, placeholder);
        let next = match done {
            Done::Called(token, window, outcome) => on_called(usage, current, now, (token, window, outcome)),
            Done::Read(read) => {
                self.is_store_busy = false;
                self.on_read(current, read, known.as_ref(), now, wall)
            }
            Done::Claimed(outcome) => {
                self.is_store_busy = false;
                self.next_read_at = now;
                match (current, outcome) {
                    (current, Ok(WriteOutcome::Done(version))) => {
                        self.claimed = Some(version);
                        current
                    }
                    (Duty::Claiming(claiming), outcome) => {
                        report_failure("usage duty", &outcome);
                        self.next_read_at = now + STORE_INTERVAL;
                        Duty::Waiting(claiming.step_down())
                    }
                    (current, _) => current,
                }
            }
            Done::Recorded(removed, outcome) => {
                self.is_store_busy = false;
                report_failure("usage", &outcome);
                on_recorded(current, now, &removed, &outcome)
            }
        };
        *duty = next;
        let after = token_of(&duty);
        if before != after {
            emit!(
                Event::UsageDutyChanged,
                before = before.unwrap_or_default(),
                token = after.unwrap_or_default()
            );
        }
    }

    fn on_read(
        &mut self,
        duty: Duty,
        read: Result<StoredUsage>,
        known: Option<&DutyRow>,
        now: Instant,
        wall: Duration,
    ) -> Duty {
        let stored = match read {
            Ok(stored) => stored,
            Err(e) => {
                emit!(Event::TableFailed, what = "usage", error = e.current_context());
                return duty;
            }
        };
        match duty {
            Duty::Waiting(waiting) => waiting.claim(wall, known, &stored),
            Duty::Claiming(claiming) => match self.claimed.take() {
                Some(version) => claiming.written(now, wall, version, &stored),
                None => Duty::Claiming(claiming),
            },
            Duty::Holding(holding) => holding.on_checked(now, wall, &stored),
        }
    }
}

fn token_of(duty: &Duty) -> Option<Token> {
    match duty {
        Duty::Holding(holding) => Some(holding.token()),
        Duty::Waiting(_) | Duty::Claiming(_) => None,
    }
}

fn on_called(usage: &UsageDuty, duty: Duty, now: Instant, (token, window, outcome): (Token, u64, CallOutcome)) -> Duty {
    match outcome {
        CallOutcome::Accepted => {
            usage.reported.fetch_add(1, Ordering::Relaxed);
            emit!(Event::UsageReported, window = window, token = token);
        }
        CallOutcome::Fenced => emit!(Event::UsageReportFailed, window = window, token = token, why = "fenced"),
        CallOutcome::Unknown => emit!(
            Event::UsageReportFailed,
            window = window,
            token = token,
            why = "no result"
        ),
    }
    match duty {
        // The result of a call with an earlier token of this process says nothing about the present one.
        Duty::Holding(holding) if holding.token() == token || outcome != CallOutcome::Fenced => {
            holding.on_called(now, window, outcome)
        }
        other => other,
    }
}

fn on_recorded(duty: Duty, now: Instant, removed: &[u64], outcome: &Result<WriteOutcome>) -> Duty {
    let Duty::Holding(mut holding) = duty else { return duty };
    match outcome {
        Ok(WriteOutcome::Done(version)) if version.era == holding.token().era() => {
            holding.on_removed(removed);
            for vm in holding.on_recorded(now) {
                emit!(Event::UsageCountsMissing, vm = vm, why = "no last counts");
            }
        }
        // The read shows whether the duty or the record is stored. Without any answer the same record is sent again.
        Ok(_) => holding.require_check(),
        Err(_) => {}
    }
    Duty::Holding(holding)
}

fn report_failure(what: &str, outcome: &Result<WriteOutcome>) {
    match outcome {
        Ok(WriteOutcome::Done(_)) => {}
        Ok(WriteOutcome::Conflict) => emit!(Event::StoreWriteFailed, what = what, error = "conflict"),
        Err(e) => emit!(Event::StoreWriteFailed, what = what, error = e.current_context()),
    }
}
