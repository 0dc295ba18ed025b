use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use mh_types::{ServerName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::pacer::Pacer;
use crate::view::{View, mix};
use crate::{
    Admission, Ask, LimitChange, LimitView, LimitVm, Msg, Reply, ServerLimit, Stated, Statement, Target, Verdict,
};

/// Time for which a VM must have been the owner of a server's limit before it admits requests. Until then the VMs that
/// have not noticed the change of owner may still ask the former one.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time without a tick after which a VM counts as paused; other VMs may have taken over its limits meanwhile.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Time for which an owner that did not reply is not asked again.
const SILENCE: Duration = Duration::from_millis(500);

/// Time for which a VM that is not the owner of a limit is not asked for it again; its list of VMs differs from ours.
const NOT_OWNER_WAIT: Duration = Duration::from_millis(300);

/// Longest time for which an owner's refusal is believed: one request at the lowest limit.
const MAX_FULL: Duration = Duration::from_secs(4);

/// Statements per message; one of them takes about 35 bytes, so that a message fits a packet.
const STATEMENTS_PER_MSG: usize = 32;

/// Messages with new statements per tick and receiver, and in reply to a digest.
const MSGS_PER_TICK: usize = 3;

/// VMs that new statements are sent to in each tick.
const FAN_OUT: usize = 3;

/// Ticks in which a new statement is sent on. Six receivers in all reach nearly all VMs; the digests find the others.
const ROUNDS: u8 = 2;

/// Ticks between two digests.
const TICKS_PER_DIGEST: u64 = 5;

/// Messages to other VMs.
pub type Outbox = SmallVec<[(VmName, Msg); 4]>;

/// The limits that servers state, as one VM knows them, and the requests that it admits for them.
#[derive(Debug)]
pub struct Limits {
    own: VmName,
    entries: HashMap<ServerName, Entry>,
    /// The current view and those that were in force within [`SETTLE_TIME`].
    views: VecDeque<View>,
    /// VMs that did not reply, until when they are not asked.
    silent: HashMap<VmName, Instant>,
    /// Servers whose statement is sent on, with the remaining ticks.
    to_spread: VecDeque<(ServerName, u8)>,
    last_tick: Option<Instant>,
    ticks: u64,
}

impl Limits {
    /// Creates the state of the VM `own`, which knows no limits and no other VMs.
    pub fn new(own: VmName) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            views: VecDeque::new(),
            silent: HashMap::new(),
            to_spread: VecDeque::new(),
            last_tick: None,
            ticks: 0,
        }
    }

    /// Sets the listed VMs that are alive and not leaving, and the number of listed VMs. This VM must be left out under
    /// the same conditions as any other.
    pub fn set_vms(&mut self, now: Instant, alive: &[LimitVm], listed: usize) {
        if self.views.back().is_some_and(|view| view.is_same(alive, listed)) {
            return;
        }
        self.views.push_back(View::new(now, alive, listed));
        while self.views.get(1).is_some_and(|next| next.since + SETTLE_TIME <= now) {
            self.views.pop_front();
        }
    }

    /// Makes this VM wait before it admits requests again, since it was paused and others may admit them meanwhile.
    pub fn on_pause(&mut self, now: Instant) {
        if let Some(mut view) = self.views.pop_back() {
            view.since = now;
            self.views = VecDeque::from([view]);
        }
    }

    /// Forgets the limits of servers that `is_listed` rejects.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&ServerName) -> bool) {
        self.entries.retain(|server, _| is_listed(server));
    }

    /// Whether a limit is known; without one every request is admitted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records what an answer says about the limit of a server whose request was sent at `sent_at`.
    ///
    /// Answers may overtake each other, so only one whose request was sent after the last statement ends or raises a
    /// limit.
    pub fn on_answer(
        &mut self,
        now: Instant,
        server: &ServerName,
        run: u64,
        sent_at: Instant,
        stated: Stated,
    ) -> Option<LimitChange> {
        let Some(entry) = self.entries.get_mut(server).filter(|entry| entry.statement.run >= run) else {
            let Stated::Limit(limit) = stated else { return None };
            let statement = Statement {
                server: server.clone(),
                run,
                change: 1,
                limit: Some(limit),
            };
            return self.learn(statement, now);
        };
        if entry.statement.run > run {
            return None;
        }
        let before = entry.statement.limit;
        let is_later = sent_at > entry.stated_at;
        match (before, stated) {
            (Some(held), Stated::Limit(limit)) => {
                let is_change = held.is_significant_change(limit) && (limit < held || is_later);
                if !is_change {
                    entry.stated_at = if limit <= held { now } else { entry.stated_at };
                    return None;
                }
                entry.change_limit(Some(limit), now);
            }
            (None, Stated::Limit(limit)) => entry.change_limit(Some(limit), now),
            (Some(_), Stated::Nothing) if is_later => entry.change_limit(None, now),
            (Some(_), Stated::Invalid(_)) => {
                entry.stated_at = now;
                return None;
            }
            _ => return None,
        }
        let change = LimitChange {
            server: server.clone(),
            before,
            limit: entry.statement.limit,
            change: entry.statement.change,
        };
        self.to_spread.push_back((server.clone(), ROUNDS));
        Some(change)
    }

    /// Decides whether a request may be sent to a server.
    pub fn admit(&mut self, now: Instant, target: &Target) -> Admission {
        // The server has been restarted, and this VM has not read that yet.
        let is_restarted = |entry: &Entry| entry.statement.run > target.run && entry.statement.limit.is_some();
        if self.entries.get(&target.server).is_some_and(is_restarted) {
            return Admission::Full(SETTLE_TIME);
        }
        let Some((entry, limit)) = self.limited(target) else {
            return Admission::Admitted;
        };
        if let Some(left) = entry.full_for(now) {
            return Admission::Full(left);
        }
        let statement = entry.statement.clone();
        let Some(owner) = self.views.back().and_then(|view| view.owner(target)).cloned() else {
            return Admission::Full(SETTLE_TIME);
        };
        if owner != self.own {
            let silent_until = self.silent.get(&owner).filter(|until| **until > now);
            return match silent_until {
                Some(until) => Admission::Full(*until - now),
                None => Admission::Ask(
                    owner,
                    Ask {
                        target: target.clone(),
                        statement,
                    },
                ),
            };
        }
        match self.decide(now, target, limit) {
            Verdict::Admitted => Admission::Admitted,
            Verdict::Full(left) => Admission::Full(self.set_full(target, now, left)),
            Verdict::NotOwner => Admission::Full(NOT_OWNER_WAIT),
        }
    }

    /// Answers the question of another VM.
    pub fn on_ask(&mut self, now: Instant, ask: &Ask) -> Reply {
        self.learn(ask.statement.clone(), now);
        let held = self.entries.get(&ask.target.server).map(|entry| &entry.statement);
        let newer = held.filter(|held| held.supersedes(&ask.statement)).cloned();
        let is_gone = held.is_some_and(|held| held.run > ask.target.run);
        let limit = self.limited(&ask.target).map(|(_, limit)| limit);
        let verdict = match limit {
            _ if is_gone => Verdict::Full(SETTLE_TIME),
            None => Verdict::Admitted,
            Some(limit) => self.decide(now, &ask.target, limit),
        };
        Reply { verdict, newer }
    }

    /// Returns the decision that follows from the reply of the VM `owner` to a question; `None` if none arrived in time.
    pub fn on_reply(&mut self, now: Instant, owner: &VmName, ask: &Ask, reply: Option<&Reply>) -> Admission {
        let Some(reply) = reply else {
            self.silent.insert(owner.clone(), now + SILENCE);
            return Admission::Full(SILENCE);
        };
        self.silent.remove(owner);
        if let Some(newer) = &reply.newer {
            self.learn(newer.clone(), now);
        }
        match reply.verdict {
            Verdict::Admitted => Admission::Admitted,
            Verdict::Full(left) => Admission::Full(self.set_full(&ask.target, now, left)),
            Verdict::NotOwner => Admission::Full(self.set_full(&ask.target, now, NOT_OWNER_WAIT)),
        }
    }

    /// Handles a message of another VM and returns the replies. Statements of servers that `is_listed` rejects are
    /// ignored.
    pub fn on_msg(
        &mut self,
        now: Instant,
        from: &VmName,
        msg: Msg,
        is_listed: impl Fn(&ServerName) -> bool,
    ) -> (Outbox, SmallVec<[LimitChange; 4]>) {
        match msg {
            Msg::Statements(statements) => {
                let listed = statements.into_iter().filter(|statement| is_listed(&statement.server));
                let changes = listed.filter_map(|statement| self.learn(statement, now)).collect();
                (Outbox::new(), changes)
            }
            Msg::Digest { hash, is_reply } => {
                let mut out = Outbox::new();
                if hash != self.digest() {
                    let mut known: Vec<&Statement> = self.entries.values().map(|entry| &entry.statement).collect();
                    known.sort_unstable_by(|a, b| a.server.cmp(&b.server));
                    // Starts elsewhere each time, so that repeated replies cover a long list.
                    let start = self.ticks as usize * STATEMENTS_PER_MSG % known.len().max(1);
                    known.rotate_left(start);
                    out.extend(messages(known.into_iter().cloned()).map(|msg| (from.clone(), msg)));
                    if !is_reply {
                        out.push((from.clone(), self.digest_msg(true)));
                    }
                }
                (out, SmallVec::new())
            }
        }
    }

    /// Advances the time; to be called five times a second. Returns the messages to send.
    pub fn on_tick(&mut self, now: Instant, rnd: u64) -> Outbox {
        self.resettle_after_pause(now);
        self.last_tick = Some(now);
        self.ticks += 1;
        self.silent.retain(|_, until| *until > now);
        let mut out = Outbox::new();
        let Some(view) = self.views.back() else { return out };
        let others: Vec<&VmName> = view.vms.iter().map(|vm| &vm.vm).filter(|vm| **vm != self.own).collect();
        if others.is_empty() {
            return out;
        }
        let pick = |n: u64| others[(mix(rnd.wrapping_add(n)) % others.len() as u64) as usize].clone();
        let count = self.to_spread.len().min(MSGS_PER_TICK * STATEMENTS_PER_MSG);
        let spread: Vec<(ServerName, u8)> = self.to_spread.drain(..count).collect();
        let statements = spread.iter().filter_map(|(server, _)| self.entries.get(server));
        let statements: Vec<Statement> = statements.map(|entry| entry.statement.clone()).collect();
        for receiver in 0..FAN_OUT.min(others.len()) as u64 {
            let vm = pick(receiver);
            out.extend(messages(statements.iter().cloned()).map(|msg| (vm.clone(), msg)));
        }
        if !self.entries.is_empty() && self.ticks.is_multiple_of(TICKS_PER_DIGEST) {
            out.push((pick(FAN_OUT as u64), self.digest_msg(false)));
        }
        let again = spread.into_iter().filter(|(_, rounds)| *rounds > 1);
        self.to_spread
            .extend(again.map(|(server, rounds)| (server, rounds - 1)));
        out
    }

    /// Returns the limits in force, for the state dump.
    pub fn view(&self, now: Instant) -> Vec<LimitView> {
        let entries = self.entries.values();
        let limits = entries.filter_map(|entry| {
            Some(LimitView {
                server: entry.statement.server.clone(),
                per_s: entry.statement.limit?.per_s(),
                change: entry.statement.change,
                stated_ms_ago: now.saturating_duration_since(entry.stated_at).as_millis() as u64,
                admits_here: entry.pacer.is_some(),
                full: entry.full_for(now).is_some(),
            })
        });
        limits.collect()
    }

    /// Returns the number of servers whose limit is in force.
    pub fn limited_servers(&self) -> usize {
        let is_limited = |entry: &&Entry| entry.statement.limit.is_some();
        self.entries.values().filter(is_limited).count()
    }

    fn limited(&self, target: &Target) -> Option<(&Entry, ServerLimit)> {
        let entry = self.entries.get(&target.server)?;
        let limit = entry.statement.limit.filter(|_| entry.statement.run == target.run)?;
        Some((entry, limit))
    }

    /// Admits a request from this VM's bucket if it is the owner and other VMs have noticed that.
    fn decide(&mut self, now: Instant, target: &Target, limit: ServerLimit) -> Verdict {
        self.resettle_after_pause(now);
        let is_own = |view: &View| view.owner(target) == Some(&self.own);
        let Some(current) = self.views.back().filter(|view| is_own(view)) else {
            return Verdict::NotOwner;
        };
        let rate = limit.per_s() * current.pooled_fraction();
        let settled_since = self.views.iter().rev().take_while(|view| is_own(view)).last();
        let settled_at = settled_since.map_or(now, |view| view.since) + SETTLE_TIME;
        if settled_at > now {
            return Verdict::Full(settled_at - now);
        }
        let Some(entry) = self.entries.get_mut(&target.server) else {
            return Verdict::Admitted;
        };
        let pacer = entry.pacer.get_or_insert_with(|| Pacer::new(now));
        let taken = pacer.try_take(now, rate);
        taken.map_or_else(Verdict::Full, |()| Verdict::Admitted)
    }

    /// Makes this VM wait before it admits requests again if it was paused.
    fn resettle_after_pause(&mut self, now: Instant) {
        let is_paused = self.last_tick.is_some_and(|at| now > at + PAUSE_LIMIT);
        if is_paused {
            self.on_pause(now);
            self.last_tick = Some(now);
        }
    }

    fn set_full(&mut self, target: &Target, now: Instant, left: Duration) -> Duration {
        let left = left.min(MAX_FULL);
        if let Some(entry) = self.entries.get_mut(&target.server) {
            entry.full_until = Some(now + left);
        }
        left
    }

    /// Applies a statement if it is newer than the held one, and queues it for other VMs.
    fn learn(&mut self, statement: Statement, now: Instant) -> Option<LimitChange> {
        let statement = Statement {
            limit: statement.limit.map(ServerLimit::sanitised),
            ..statement
        };
        let server = statement.server.clone();
        let mut before = None;
        match self.entries.get_mut(&server) {
            Some(entry) if !statement.supersedes(&entry.statement) => return None,
            Some(entry) => {
                before = entry.statement.limit.filter(|_| entry.statement.run == statement.run);
                entry.replace(statement.clone(), now);
            }
            None => drop(self.entries.insert(server.clone(), Entry::new(statement.clone(), now))),
        }
        self.to_spread.push_back((server.clone(), ROUNDS));
        Some(LimitChange {
            server,
            before,
            limit: statement.limit,
            change: statement.change,
        })
    }

    fn digest(&self) -> u64 {
        let digests = self.entries.values().map(|entry| entry.statement.digest());
        digests.fold(0, u64::wrapping_add)
    }

    fn digest_msg(&self, is_reply: bool) -> Msg {
        Msg::Digest {
            hash: self.digest(),
            is_reply,
        }
    }
}

/// Packs statements into messages, at most [`MSGS_PER_TICK`].
fn messages(statements: impl Iterator<Item = Statement>) -> impl Iterator<Item = Msg> {
    let statements: Vec<Statement> = statements.take(MSGS_PER_TICK * STATEMENTS_PER_MSG).collect();
    let chunks: Vec<Msg> = statements
        .chunks(STATEMENTS_PER_MSG)
        .map(|chunk| Msg::Statements(chunk.to_vec()))
        .collect();
    chunks.into_iter()
}
