use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use mh_once::prelude::*;
use mh_once::{Batch, BatchOutcome, BatchProgress, ForwardId, ForwardIdGenerator, PushOutcome, RowKey, WriteId};
use mh_types::{Code, OrgName, Run};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::config::Config;
use super::fake_table::FakeTable;
use super::report::Report;
use super::vm::{Process, Reply, ReplyTo, Request, Vm};

const VMS: usize = 3;
const OPERATIONS: usize = 16;
const HISTORY_MS: u64 = 4_000;
const SMALL_LIMITS: TableLimits = TableLimits {
    max_entries: 3,
    max_answer_bytes: 16 * 450,
    max_one_answer_bytes: 400,
    lifetime: Duration::from_millis(1_200),
};
/// Codes of refusals sent before the claim row is known, which give no information about earlier requests.
const REFUSALS_BEFORE_CLAIM: [Code; 3] = [Code::TableUnreachable, Code::OutcomeUnknown, Code::BudgetUsedUp];

enum Event {
    StartOperation(usize),
    SendAttempt {
        op: usize,
        different_body: bool,
    },
    Deliver {
        vm: usize,
        incarnation: Option<u64>,
        msg: Msg,
    },
    Execute {
        vm: usize,
        incarnation: u64,
        slot: u64,
        request: Request,
    },
    Commit {
        vm: usize,
        incarnation: u64,
        batch: Batch,
    },
    ReadBack {
        vm: usize,
        incarnation: u64,
        write_id: WriteId,
    },
    Kill(usize),
    Boot(usize),
    Pause {
        vm: usize,
        ms: u64,
    },
    TableDown(bool),
}

enum Msg {
    Request(Request),
    Forward {
        request: Request,
        row: Option<ClaimRow>,
        forward: ForwardId,
    },
    ForwardReply {
        call: u64,
        reply: Reply,
    },
    ForwardTimeout(u64),
    Send(u64),
    Backend {
        slot: u64,
        body: Bytes,
    },
    BackendTimeout(u64),
    CallerDisconnected(u64),
    PollWaiters,
    PollBatcher,
    BatchOutcome {
        write_id: WriteId,
        outcome: BatchOutcome,
    },
    Tick,
}

struct Op {
    id: Option<OpId>,
    executed_at: Option<u64>,
}

struct AttemptLog {
    op: usize,
    different_body: bool,
    at: u64,
    executions: usize,
    reply: Option<Reply>,
}

struct Simulation {
    cfg: Config,
    rng: StdRng,
    start: Instant,
    now_ms: u64,
    /// Clock reading of the current request, which is older than `now_ms` after a pause.
    clock_ms: u64,
    queue: BTreeMap<(u64, u64), (u64, Event)>,
    last_serial: u64,
    vms: Vec<Vm>,
    table: FakeTable,
    ops: Vec<Op>,
    attempts: Vec<AttemptLog>,
    /// Attempt that caused each execution.
    executions: Vec<usize>,
    report: Report,
}

/// Runs one history to its end and checks its guarantees.
pub fn run(cfg: Config) -> Report {
    let mut sim = Simulation::new(cfg);
    while let Some(((at, _), (clock, event))) = sim.queue.pop_first() {
        sim.now_ms = at;
        sim.clock_ms = clock;
        sim.on_event(event);
    }
    sim.check()
}

impl Simulation {
    fn new(cfg: Config) -> Self {
        let start = Instant::now();
        let mut sim = Self {
            cfg,
            rng: StdRng::seed_from_u64(cfg.seed),
            start,
            now_ms: 0,
            clock_ms: 0,
            queue: BTreeMap::new(),
            last_serial: 0,
            vms: (0..VMS)
                .map(|_| Vm {
                    incarnation: 0,
                    paused_until: 0,
                    process: None,
                })
                .collect(),
            table: FakeTable::default(),
            ops: (0..OPERATIONS)
                .map(|_| Op {
                    id: None,
                    executed_at: None,
                })
                .collect(),
            attempts: Vec::new(),
            executions: Vec::new(),
            report: Report::default(),
        };
        (0..VMS).for_each(|vm| sim.boot(vm));
        for op in 0..OPERATIONS {
            let at = sim.rng.random_range(1..HISTORY_MS);
            sim.schedule_at(at, Event::StartOperation(op));
        }
        for tick in 1..HISTORY_MS / 250 {
            let vm = sim.rng.random_range(0..VMS);
            sim.schedule_at(
                tick * 250,
                Event::Deliver {
                    vm,
                    incarnation: None,
                    msg: Msg::Tick,
                },
            );
        }
        sim.schedule_faults();
        sim
    }

    fn schedule_faults(&mut self) {
        for _ in 0..3 {
            let vm = self.rng.random_range(0..VMS);
            let at = self.rng.random_range(1..HISTORY_MS);
            if self.cfg.faults.kill {
                self.schedule_at(at, Event::Kill(vm));
                let back = at + self.rng.random_range(1..800);
                self.schedule_at(back, Event::Boot(vm));
            }
            if self.cfg.faults.pause {
                let vm = self.rng.random_range(0..VMS);
                let at = self.rng.random_range(1..HISTORY_MS);
                let ms = self.rng.random_range(50..1_500);
                self.schedule_at(at, Event::Pause { vm, ms });
            }
            if self.cfg.faults.table {
                let at = self.rng.random_range(1..HISTORY_MS);
                self.schedule_at(at, Event::TableDown(true));
                let back = at + self.rng.random_range(50..500);
                self.schedule_at(back, Event::TableDown(false));
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::StartOperation(op) => self.start_operation(op),
            Event::SendAttempt { op, different_body } => self.send_attempt(op, different_body),
            Event::Deliver { vm, incarnation, msg } => self.deliver(vm, incarnation, msg),
            Event::Execute {
                vm,
                incarnation,
                slot,
                request,
            } => self.execute(vm, incarnation, slot, request),
            Event::Commit { vm, incarnation, batch } => self.commit(vm, incarnation, &batch),
            Event::ReadBack {
                vm,
                incarnation,
                write_id,
            } => {
                let outcome = self.table.outcome(&write_id);
                self.send_to(5, vm, Some(incarnation), Msg::BatchOutcome { write_id, outcome });
            }
            Event::Kill(vm) => self.vms[vm].process = None,
            Event::Boot(vm) if self.vms[vm].process.is_none() => self.boot(vm),
            Event::Boot(_) => {}
            Event::Pause { vm, ms } => self.vms[vm].paused_until = self.now_ms + ms,
            Event::TableDown(down) => self.table.down = down,
        }
    }

    fn boot(&mut self, vm: usize) {
        let incarnation = self.now_ms + 1;
        let limits = if self.cfg.small_limits {
            SMALL_LIMITS
        } else {
            TableLimits::default()
        };
        let process = Process::new(vm, incarnation, self.start + Duration::from_millis(self.now_ms), limits);
        self.vms[vm] = Vm {
            incarnation,
            paused_until: 0,
            process: Some(process),
        };
    }

    fn start_operation(&mut self, op: usize) {
        let first = self.rng.random_range(0..VMS);
        let running_vm = (0..VMS)
            .map(|i| (first + i) % VMS)
            .find(|vm| self.vms[*vm].process.is_some());
        let issuer = running_vm
            .and_then(|vm| self.vms[vm].process.as_ref())
            .map(|process| &process.issuer);
        let id = match issuer.filter(|_| op.is_multiple_of(2)) {
            Some(issuer) => issuer.issue(self.start + Duration::from_millis(self.now_ms), self.rng.random()),
            None => OpId::parse(&format!("op-{op}"), Some(&org())).expect("a valid id"),
        };
        // Converts the id to its printed form and back, as a real caller does.
        self.ops[op].id = Some(OpId::parse(&id.to_string(), Some(&org())).expect("a printed id"));
        let mut delay = 0;
        for _ in 0..self.rng.random_range(1..=7) {
            let different_body = self.rng.random_bool(0.03);
            self.schedule_after(delay, Event::SendAttempt { op, different_body });
            delay += if self.rng.random_bool(0.3) {
                0
            } else {
                self.rng.random_range(1..450)
            };
        }
    }

    fn send_attempt(&mut self, op: usize, different_body: bool) {
        let attempt = self.attempts.len();
        self.attempts.push(AttemptLog {
            op,
            different_body,
            at: self.now_ms,
            executions: 0,
            reply: None,
        });
        let vm = self.rng.random_range(0..VMS);
        let delay = self.rng.random_range(1..20);
        self.send_to(
            delay,
            vm,
            None,
            Msg::Request(Request {
                attempt,
                reply_to: ReplyTo::Caller,
            }),
        );
    }

    fn deliver(&mut self, vm: usize, incarnation: Option<u64>, msg: Msg) {
        let state = &mut self.vms[vm];
        if incarnation.is_some_and(|incarnation| incarnation != state.incarnation) {
            return;
        }
        if state.process.is_some() && state.paused_until > self.now_ms {
            // The process may have read its clock just before it was paused.
            let until = state.paused_until;
            let clock = if self.rng.random_bool(0.5) {
                self.clock_ms
            } else {
                until
            };
            return self.enqueue(until, clock, Event::Deliver { vm, incarnation, msg });
        }
        let Some(mut process) = state.process.take() else {
            return;
        };
        self.on_msg(vm, &mut process, msg);
        let usage = process.table.usage();
        if self.cfg.small_limits
            && (usage.entries > SMALL_LIMITS.max_entries || usage.answer_bytes > SMALL_LIMITS.max_answer_bytes)
        {
            self.record_violation(&format!("table exceeds its limits: {usage:?}"));
        }
        self.vms[vm].process = Some(process);
    }

    fn on_msg(&mut self, vm: usize, process: &mut Process, msg: Msg) {
        match msg {
            Msg::Request(request) if self.cfg.separate_memory => self.handle_with_separate_memory(vm, process, request),
            Msg::Request(request) => self.handle_request(vm, process, request),
            Msg::Forward { request, row, forward } => {
                if !process.window.admit(&forward) {
                    return self.reply(request, Reply::Refuse(Code::OperationUnresolved, Run::Unknown));
                }
                let (name, incarnation) = (process.owner.vm(), process.owner.incarnation());
                match Router::decide_forwarded(name, incarnation, &self.id(request), row.as_ref()) {
                    Decision::Local => self.begin(vm, process, request, row.as_ref()),
                    Decision::Refuse(code, run) => self.reply(request, Reply::Refuse(code, run)),
                    other => self.record_violation(&format!("operation would be forwarded twice: {other:?}")),
                }
            }
            Msg::ForwardReply { call, reply } => {
                if let Some(request) = process.calls.remove(&call) {
                    self.reply(request, reply);
                }
            }
            Msg::ForwardTimeout(call) => {
                if let Some(request) = process.calls.remove(&call) {
                    self.reply(request, Reply::Refuse(Code::OwnerUnreachable, Run::Unknown));
                }
            }
            Msg::Send(slot) => self.send(vm, process, slot),
            Msg::Backend { slot, body } if self.cfg.separate_memory => {
                if let Some(request) = process.calls.remove(&slot) {
                    process
                        .separate_memory
                        .insert(self.attempts[request.attempt].op, Some(body.clone()));
                    self.reply(request, Reply::Answer(body));
                }
            }
            Msg::Backend { slot, body } => {
                if let Some((attempt, request)) = process.in_flight.remove(&slot) {
                    let name = Bytes::from_static(b"location");
                    let answer = Answer {
                        status: 201,
                        headers: vec![(name.clone(), name)],
                        body,
                    };
                    let answer = attempt.finish(self.now(), answer);
                    self.reply(request, Reply::Answer(answer.body.clone()));
                }
            }
            Msg::BackendTimeout(slot) => {
                if let Some((attempt, request)) = process.in_flight.remove(&slot) {
                    attempt.unknown(self.now());
                    self.reply(request, Reply::Refuse(Code::AnswerTimeout, Run::Unknown));
                }
            }
            Msg::CallerDisconnected(slot) => drop((process.ready.remove(&slot), process.in_flight.remove(&slot))),
            Msg::PollWaiters => self.poll_waiters(vm, process),
            Msg::PollBatcher => self.poll_batcher(vm, process),
            Msg::BatchOutcome { write_id, outcome } => {
                let BatchProgress { settled, read_back } = process.batcher.on_outcome(&write_id, outcome);
                if read_back {
                    let event = Event::ReadBack {
                        vm,
                        incarnation: process.owner.incarnation().0,
                        write_id,
                    };
                    self.schedule_after(40, event);
                }
                self.settle_claims(vm, process, settled);
                self.poll_batcher(vm, process);
            }
            Msg::Tick => process.table.on_tick(self.now()),
        }
    }

    fn handle_request(&mut self, vm: usize, process: &mut Process, request: Request) {
        let id = self.id(request);
        match Router::decide(process.owner.vm(), process.owner.incarnation(), &id) {
            Decision::Local => self.begin(vm, process, request, None),
            Decision::Forward(to) => self.forward(vm, process, request, to.as_str(), None),
            Decision::Refuse(code, run) => self.reply(request, Reply::Refuse(code, run)),
            Decision::Claim => {
                let OpId::Caller(id) = &id else { return };
                match process
                    .table
                    .begin(self.now(), &OpId::Caller(id.clone()), self.fingerprint(request))
                {
                    BeginOutcome::NotOwner => match process.batcher.push(self.now(), id) {
                        PushOutcome::Pending(key) => {
                            self.report.claims += 1;
                            process.claims.entry(key).or_default().push(request);
                            self.poll_batcher(vm, process);
                        }
                        PushOutcome::Refuse(code, run) => self.reply(request, Reply::Refuse(code, run)),
                    },
                    begin => self.on_begin_outcome(vm, process, request, begin),
                }
            }
        }
    }

    fn begin(&mut self, vm: usize, process: &mut Process, request: Request, row: Option<&ClaimRow>) {
        let (now, fingerprint) = (self.now(), self.fingerprint(request));
        let begin = match (self.id(request), row) {
            (OpId::Caller(id), Some(row)) => process.table.begin_claimed(now, &id, row, fingerprint),
            (id, _) => process.table.begin(now, &id, fingerprint),
        };
        self.on_begin_outcome(vm, process, request, begin);
    }

    fn on_begin_outcome(&mut self, vm: usize, process: &mut Process, request: Request, begin: BeginOutcome) {
        let incarnation = Some(process.owner.incarnation().0);
        if let Some((code, run)) = begin.refusal() {
            return self.reply(request, Reply::Refuse(code, run));
        }
        match begin {
            BeginOutcome::Begin(attempt) => {
                let slot = self.next_serial();
                process.ready.insert(slot, (attempt, request));
                let delay = self.rng.random_range(0..10);
                self.send_to(delay, vm, incarnation, Msg::Send(slot));
                if self.cfg.faults.caller && self.rng.random_bool(0.15) {
                    let delay = self.rng.random_range(0..60);
                    self.send_to(delay, vm, incarnation, Msg::CallerDisconnected(slot));
                }
            }
            BeginOutcome::InProgress(waiter) => {
                process.waiting.push((waiter, request));
                self.send_to(20, vm, incarnation, Msg::PollWaiters);
            }
            BeginOutcome::Done(answer) => self.reply(request, Reply::Answer(answer.body.clone())),
            other => self.record_violation(&format!("{other:?} has no refusal")),
        }
    }

    fn send(&mut self, vm: usize, process: &mut Process, slot: u64) {
        let Some((attempt, request)) = process.ready.remove(&slot) else {
            return;
        };
        let incarnation = process.owner.incarnation().0;
        if self.rng.random_bool(0.1) {
            let (code, run) = attempt.abandon().refusal(Code::NoServer);
            return self.reply(request, Reply::Refuse(code, run));
        }
        process.in_flight.insert(slot, (attempt.send(), request));
        self.send_to(500, vm, Some(incarnation), Msg::BackendTimeout(slot));
        let faulty = self.cfg.faults.backend && self.rng.random_bool(0.2);
        if faulty && self.rng.random_bool(0.3) {
            return;
        }
        let delay = if faulty {
            self.rng.random_range(1..2_000)
        } else {
            self.rng.random_range(1..100)
        };
        self.schedule_after(
            delay,
            Event::Execute {
                vm,
                incarnation,
                slot,
                request,
            },
        );
    }

    fn execute(&mut self, vm: usize, incarnation: u64, slot: u64, request: Request) {
        let number = self.executions.len() as u64;
        self.executions.push(request.attempt);
        self.attempts[request.attempt].executions += 1;
        let op = &mut self.ops[self.attempts[request.attempt].op];
        if op.executed_at.is_some() {
            let (operation, seed) = (self.attempts[request.attempt].op, self.cfg.seed);
            self.report
                .violations
                .push(format!("seed {seed}: operation {operation} ran twice"));
        }
        op.executed_at.get_or_insert(self.now_ms);
        if self.cfg.faults.backend && self.rng.random_bool(0.1) {
            return;
        }
        let mut body = number.to_be_bytes().to_vec();
        body.resize(self.rng.random_range(8..300), 0);
        let delay = self.rng.random_range(1..60);
        self.send_to(
            delay,
            vm,
            Some(incarnation),
            Msg::Backend {
                slot,
                body: body.into(),
            },
        );
    }

    fn forward(&mut self, vm: usize, process: &mut Process, request: Request, to: &str, row: Option<&ClaimRow>) {
        let receiver: usize = to.trim_start_matches("vm-").parse().expect("a VM of the simulation");
        let (call, incarnation) = (self.next_serial(), process.owner.incarnation().0);
        let owner = &process.owner;
        let forward = process
            .forward_ids
            .entry(receiver)
            .or_insert_with(|| ForwardIdGenerator::new(owner.clone()))
            .next();
        process.calls.insert(call, request);
        self.send_to(400, vm, Some(incarnation), Msg::ForwardTimeout(call));
        let faulty = self.cfg.faults.forward;
        let copies = match self.rng.random_range(0..10) {
            0 if faulty => 0,
            1 | 2 if faulty => 2,
            _ => 1,
        };
        let request = Request {
            reply_to: ReplyTo::Vm { vm, incarnation, call },
            ..request
        };
        for _ in 0..copies {
            let late = faulty && self.rng.random_bool(0.2);
            let delay = if late {
                self.rng.random_range(1..1_500)
            } else {
                self.rng.random_range(1..15)
            };
            let msg = Msg::Forward {
                request,
                row: row.cloned(),
                forward: forward.clone(),
            };
            self.send_to(delay, receiver, None, msg);
        }
    }

    fn poll_waiters(&mut self, vm: usize, process: &mut Process) {
        for (waiter, request) in std::mem::take(&mut process.waiting) {
            match waiter.peek() {
                Some(WaitOutcome::Answer(answer)) => self.reply(request, Reply::Answer(answer.body.clone())),
                Some(WaitOutcome::Unknown) => {
                    self.reply(request, Reply::Refuse(Code::OperationUnresolved, Run::Unknown));
                }
                // A request received from a caller is routed again, starting at the claim row for a caller-supplied id;
                // a forwarded request is refused.
                Some(WaitOutcome::Abandoned) if matches!(request.reply_to, ReplyTo::Caller) => {
                    self.handle_request(vm, process, request);
                }
                Some(WaitOutcome::Abandoned) => {
                    self.reply(request, Reply::Refuse(Code::OperationInProgress, Run::NotRun));
                }
                None if self.now_ms > self.attempts[request.attempt].at + 700 => {
                    self.reply(request, Reply::Refuse(Code::OperationInProgress, Run::Unknown));
                }
                None => process.waiting.push((waiter, request)),
            }
        }
        if !process.waiting.is_empty() {
            self.send_to(20, vm, Some(process.owner.incarnation().0), Msg::PollWaiters);
        }
    }

    fn poll_batcher(&mut self, vm: usize, process: &mut Process) {
        let incarnation = process.owner.incarnation().0;
        let poll = process.batcher.poll(self.now());
        if let Some(batch) = poll.batch {
            let slow = self.cfg.faults.table && self.rng.random_bool(0.2);
            let delay = if slow {
                self.rng.random_range(50..900)
            } else {
                self.rng.random_range(2..20)
            };
            if slow {
                let msg = Msg::BatchOutcome {
                    write_id: batch.write_id.clone(),
                    outcome: BatchOutcome::Unknown,
                };
                self.send_to(200, vm, Some(incarnation), msg);
            }
            self.schedule_after(delay, Event::Commit { vm, incarnation, batch });
        }
        self.settle_claims(vm, process, poll.settled);
        if let Some(next) = process.batcher.next_poll() {
            let delay = next.saturating_duration_since(self.now()).as_millis() as u64 + 1;
            self.send_to(delay, vm, Some(incarnation), Msg::PollBatcher);
        }
    }

    fn commit(&mut self, vm: usize, incarnation: u64, batch: &Batch) {
        let write_id = batch.write_id.clone();
        let outcome = if self.table.down {
            if self.rng.random_bool(0.5) {
                BatchOutcome::NotApplied(Code::TableUnreachable)
            } else {
                BatchOutcome::Unknown
            }
        } else {
            let outcome = self.table.commit(batch);
            let lost = self.cfg.faults.table && self.rng.random_bool(0.15);
            if lost { BatchOutcome::Unknown } else { outcome }
        };
        self.send_to(5, vm, Some(incarnation), Msg::BatchOutcome { write_id, outcome });
    }

    fn settle_claims(&mut self, vm: usize, process: &mut Process, settled: Vec<(RowKey, ClaimStep)>) {
        for (key, step) in settled {
            for request in process.claims.remove(&key).unwrap_or_default() {
                match &step {
                    ClaimStep::Local(row) => self.begin(vm, process, request, Some(row)),
                    ClaimStep::Forward(row) => self.forward(vm, process, request, row.vm.as_str(), Some(row)),
                    ClaimStep::Refuse(code, run) => self.reply(request, Reply::Refuse(*code, *run)),
                    other => self.record_violation(&format!("claim settled with {other:?}")),
                }
            }
        }
    }

    fn handle_with_separate_memory(&mut self, vm: usize, process: &mut Process, request: Request) {
        let op = self.attempts[request.attempt].op;
        match process.separate_memory.get(&op) {
            Some(Some(body)) => self.reply(request, Reply::Answer(body.clone())),
            Some(None) => self.reply(request, Reply::Refuse(Code::OperationInProgress, Run::Unknown)),
            None => {
                let (slot, incarnation) = (self.next_serial(), process.owner.incarnation().0);
                process.separate_memory.insert(op, None);
                process.calls.insert(slot, request);
                let delay = self.rng.random_range(1..100);
                self.schedule_after(
                    delay,
                    Event::Execute {
                        vm,
                        incarnation,
                        slot,
                        request,
                    },
                );
            }
        }
    }

    fn reply(&mut self, request: Request, reply: Reply) {
        match request.reply_to {
            ReplyTo::Caller => {
                self.attempts[request.attempt].reply.get_or_insert(reply);
            }
            ReplyTo::Vm { vm, incarnation, call } => {
                if !(self.cfg.faults.forward && self.rng.random_bool(0.1)) {
                    let delay = self.rng.random_range(1..15);
                    self.send_to(delay, vm, Some(incarnation), Msg::ForwardReply { call, reply });
                }
            }
        }
    }

    fn check(mut self) -> Report {
        let attempts = std::mem::take(&mut self.attempts);
        for (number, attempt) in attempts.iter().enumerate() {
            let code = match &attempt.reply {
                None => continue,
                Some(Reply::Answer(body)) => {
                    let execution = u64::from_be_bytes(body[..8].try_into().expect("8 bytes")) as usize;
                    let source = &attempts[self.executions[execution]];
                    if source.op != attempt.op || source.different_body != attempt.different_body {
                        self.record_violation(&format!("attempt {number} got the answer of another request"));
                    }
                    0
                }
                Some(Reply::Refuse(code, run)) => {
                    self.check_refusal(number, attempt, *code, *run);
                    code.number()
                }
            };
            *self.report.codes.entry(code).or_default() += 1;
        }
        self.report.attempts = attempts.len();
        self.report.executed = self.executions.len();
        self.report.operations = self.ops.len();
        self.report.table_writes = self.table.writes;
        for (op, state) in self.ops.iter().enumerate() {
            let replies = || {
                attempts
                    .iter()
                    .filter(|attempt| attempt.op == op)
                    .map(|attempt| &attempt.reply)
            };
            if replies().any(|reply| matches!(reply, Some(Reply::Answer(_)))) {
                self.report.ended_answered += 1;
            } else if replies().all(|reply| matches!(reply, Some(Reply::Refuse(_, Run::NotRun)))) {
                self.report.ended_not_run += 1;
            } else {
                self.report.ended_unknown += 1;
                self.report.unknown_not_executed += usize::from(state.executed_at.is_none());
            }
        }
        self.report
    }

    fn check_refusal(&mut self, number: usize, attempt: &AttemptLog, code: Code, run: Run) {
        if run == Run::Unknown {
            return;
        }
        if attempt.executions > 0 {
            self.record_violation(&format!("attempt {number} was refused as not run with {code} and ran"));
        }
        let op = &self.ops[attempt.op];
        let claimed = matches!(op.id, Some(OpId::Caller(_)));
        let ignores_earlier_requests =
            code == Code::OperationMismatch || claimed && REFUSALS_BEFORE_CLAIM.contains(&code);
        if op.executed_at.is_some_and(|at| at < attempt.at) && !ignores_earlier_requests {
            self.record_violation(&format!(
                "attempt {number}, a repeat after the run, was refused as not run with {code}"
            ));
        }
    }

    fn record_violation(&mut self, description: &str) {
        self.report
            .violations
            .push(format!("seed {}: {description}", self.cfg.seed));
    }

    fn id(&self, request: Request) -> OpId {
        self.ops[self.attempts[request.attempt].op]
            .id
            .clone()
            .expect("an id assigned before its attempts")
    }

    fn fingerprint(&self, request: Request) -> Fingerprint {
        let body: &[u8] = if self.attempts[request.attempt].different_body {
            b"other"
        } else {
            b"body"
        };
        Fingerprint::new(Some(&org()), "POST", "/orders", body)
    }

    /// Clock reading of the current process.
    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.clock_ms)
    }

    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    fn send_to(&mut self, delay: u64, vm: usize, incarnation: Option<u64>, msg: Msg) {
        self.schedule_after(delay, Event::Deliver { vm, incarnation, msg });
    }

    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now_ms + delay, event);
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.enqueue(at, at, event);
    }

    fn enqueue(&mut self, at: u64, clock: u64, event: Event) {
        let serial = self.next_serial();
        self.queue.insert((at, serial), (clock, event));
    }
}

fn org() -> OrgName {
    OrgName::from("sales/acme")
}
