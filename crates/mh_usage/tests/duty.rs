//! The duty of reporting on fakes of the store and of the platform, without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use mh_types::{Incarnation, StoreVersion, VmName};
use mh_usage::{
    CallOutcome, Duty, DutyHolder, DutyRow, Fleet, Holding, Params, StoredUsage, Token, UsageCounter, WallClock,
    WindowRecord,
};
use tokio::time::Instant;

const START: Duration = Duration::from_secs(1_000_000);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Store that checks versions as the platform's store does.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    duty: Option<DutyRow>,
    /// Version of the guard row of each era.
    guards: BTreeMap<u64, u64>,
    windows: BTreeMap<u64, WindowRecord>,
}

impl Store {
    fn read(&self) -> StoredUsage {
        StoredUsage {
            era: self.era,
            duty: self.duty.clone(),
            windows: self.windows.values().cloned().collect(),
        }
    }

    fn claim(&mut self, row: &DutyRow, expected: StoreVersion) -> Option<StoreVersion> {
        let era = row.token.era();
        let guard = if expected.era == era { expected.number } else { 0 };
        let is_expected = self.duty.as_ref().map_or(0, |row| row.version.number) == expected.number;
        if !is_expected || self.guards.get(&era).copied().unwrap_or_default() != guard {
            return None;
        }
        self.version += 1;
        let version = StoreVersion::new(self.era, self.version);
        self.duty = Some(DutyRow { version, ..row.clone() });
        self.guards.insert(era, self.version);
        Some(version)
    }

    fn record(&mut self, duty: &DutyRow, record: &WindowRecord) -> bool {
        let is_held = self
            .duty
            .as_ref()
            .is_some_and(|row| row.version.number == duty.version.number);
        let is_guarded = self.guards.get(&duty.token.era()) == Some(&duty.version.number);
        let is_done = is_held && is_guarded && !self.windows.contains_key(&record.window);
        if is_done {
            self.version += 1;
            self.windows.insert(record.window, record.clone());
        }
        is_done
    }
}

/// The platform's API, which refuses tokens below the highest that it has seen.
#[derive(Default)]
struct Platform {
    highest: Token,
    reports: BTreeMap<u64, WindowRecord>,
    /// Whether two reports of one window differed.
    has_conflict: bool,
}

impl Platform {
    fn call(&mut self, token: Token, record: &WindowRecord) -> CallOutcome {
        if token < self.highest {
            return CallOutcome::Fenced;
        }
        self.highest = token;
        let before = self.reports.insert(record.window, record.clone());
        self.has_conflict |= before.is_some_and(|before| before != *record);
        CallOutcome::Accepted
    }
}

struct World {
    now: Instant,
    started: Instant,
    vms: Vec<VmName>,
    store: Store,
    platform: Platform,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            started: now,
            vms: ["a", "b", "c"].map(VmName::from).into(),
            store: Store::default(),
            platform: Platform::default(),
        }
    }

    fn wall(&self) -> Duration {
        START + (self.now - self.started)
    }

    fn fleet(&self) -> Fleet<'_> {
        Fleet {
            alive: &self.vms,
            listed: 3,
        }
    }

    fn pass(&mut self, seconds: f64) {
        self.now += secs(seconds);
    }

    /// Lets `vm` wait for the duty and claim it.
    fn claim(&mut self, vm: &str) -> DutyHolder<Holding> {
        let mut waiting = DutyHolder::new(vm.into(), Params::default());
        let known = self.store.duty.clone();
        let started = self.now;
        while !waiting.should_claim(self.now, known.as_ref(), self.fleet()) {
            self.pass(0.1);
            assert!(self.now - started < secs(60.0), "{vm} does not claim");
        }
        let claim = waiting.claim(self.wall(), known.as_ref(), &self.store.read());
        self.write(claim)
    }

    fn write(&mut self, duty: Duty) -> DutyHolder<Holding> {
        let Duty::Claiming(claiming) = duty else {
            panic!("{duty:?}")
        };
        let version = self
            .store
            .claim(claiming.row(), claiming.expected())
            .expect("the claim is written");
        match claiming.written(self.now, self.wall(), version, &self.store.read()) {
            Duty::Holding(holding) => *holding,
            other => panic!("{other:?}"),
        }
    }

    /// Delivers the counts of `counter` to the holder, each message twice.
    fn deliver(&self, counter: &mut UsageCounter, from: &str, holding: &mut DutyHolder<Holding>) {
        for msg in counter.messages(self.wall(), self.wall(), holding.token()) {
            let size = msg.counts.iter().map(|(org, _)| org.as_str().len() + 11).sum::<usize>();
            assert!(size <= 900, "{size}");
            for _ in 0..2 {
                let ack = holding
                    .on_counts(self.now, &from.into(), &msg)
                    .expect("the token is right");
                counter.on_ack(&ack);
            }
        }
    }

    /// Ticks, and records the next window as soon as it is due.
    fn record(&mut self, holding: &mut DutyHolder<Holding>) -> WindowRecord {
        for _ in 0..1000 {
            holding.on_tick(self.now, self.store.duty.as_ref(), self.fleet());
            if let Some(record) = holding.next_record(self.wall(), self.fleet()) {
                assert!(self.store.record(holding.row(), &record));
                holding.on_recorded(self.now);
                return record;
            }
            self.pass(0.1);
        }
        panic!("no window is recorded");
    }

    fn report(&mut self, mut holding: DutyHolder<Holding>) -> Duty {
        let record = holding.next_call(self.now).expect("a report is due");
        let outcome = self.platform.call(holding.token(), &record);
        holding.on_called(self.now, record.window, outcome)
    }
}

fn counter(n: u64) -> UsageCounter {
    UsageCounter::new(Incarnation(n), Params::default())
}

fn count(counter: &mut UsageCounter, world: &World, times: u64) {
    for _ in 0..times {
        let begun = counter.begin(world.wall(), &"org".into());
        counter.settle(&begun, true);
    }
}

fn total(record: &WindowRecord) -> u64 {
    record.counts.values().sum()
}

/// Guards against double counts after repeated messages and restarts, and against counts of refused requests.
#[test]
fn counts_reach_the_holder_once() {
    let mut world = World::new();
    let mut holding = world.claim("a");
    while Params::default().window_at(world.wall()) == Params::default().window_at(START) {
        world.pass(0.1);
        holding.on_tick(world.now, world.store.duty.as_ref(), world.fleet());
    }
    let mut first = counter(1);
    count(&mut first, &world, 3);
    world.deliver(&mut first, "b", &mut holding);
    count(&mut first, &world, 2);
    let refused = first.begin(world.wall(), &"org".into());
    world.deliver(&mut first, "b", &mut holding);
    first.settle(&refused, false);
    for n in 0..200 {
        first.begin(world.wall(), &format!("org-{n:03}").as_str().into());
    }
    world.deliver(&mut first, "b", &mut holding);
    // The VM is killed and counts from zero.
    let mut second = counter(2);
    count(&mut second, &world, 4);
    world.deliver(&mut second, "b", &mut holding);

    let window = Params::default().window_at(world.wall());
    let record = loop {
        let record = world.record(&mut holding);
        if record.window == window {
            break record;
        }
    };

    assert_eq!((record.counts["org"], total(&record)), (9, 209));
    count(&mut first, &world, 1);
    assert_eq!(first.lost(), 0);
}

/// Guards against counts that a change of the holder loses or doubles, and against two reports that differ.
#[test]
fn later_holder_repeats_stored_windows_and_collects_the_others() {
    let mut world = World::new();
    let mut a = world.claim("a");
    let mut counts = counter(1);
    count(&mut counts, &world, 3);
    world.deliver(&mut counts, "c", &mut a);
    let stored = world.record(&mut a);
    count(&mut counts, &world, 5);
    let counted = Params::default().window_at(world.wall());
    world.deliver(&mut counts, "c", &mut a);
    // The call of the holder is executed late, after those of the next one.
    let late = a.next_call(world.now).expect("a report is due");
    world.vms.remove(0);

    let mut b = world.claim("b");
    world.deliver(&mut counts, "c", &mut b);
    assert_eq!(b.next_call(world.now).as_deref(), Some(&stored));
    assert_eq!(world.platform.call(b.token(), &stored), CallOutcome::Accepted);
    let mut next = world.record(&mut b);
    while next.window < counted {
        next = world.record(&mut b);
    }

    assert_eq!((total(&stored), total(&next), counts.lost()), (3, 5, 0));
    assert_eq!(world.platform.call(a.token(), &late), CallOutcome::Fenced);
    assert!(matches!(
        a.on_called(world.now, late.window, CallOutcome::Fenced),
        Duty::Waiting(_)
    ));
}

/// Guards against a holder that passes over windows, or records them without counts, before the VMs had time to send.
#[test]
fn new_holder_waits_for_the_counts_of_overdue_windows() {
    let mut world = World::new();
    let mut counts = counter(1);
    count(&mut counts, &world, 7);
    world.pass(20.0);
    let mut holding = world.claim("a");
    assert!(holding.next_record(world.wall(), world.fleet()).is_none());
    world.deliver(&mut counts, "b", &mut holding);

    let record = world.record(&mut holding);

    assert_eq!((record.window, total(&record)), (Params::default().window_at(START), 7));
}

/// Guards against a paused holder that acts on a duty which it has lost.
#[test]
fn paused_holder_checks_before_it_acts() {
    let mut world = World::new();
    let mut a = world.claim("a");
    world.record(&mut a);
    world.pass(20.0);

    assert!(a.next_call(world.now).is_none());
    a.on_tick(world.now, world.store.duty.as_ref(), world.fleet());
    assert!(a.should_check(world.now, world.wall(), world.fleet()));
    assert!(a.next_call(world.now).is_none());
    assert!(a.next_record(world.wall(), world.fleet()).is_none());
    world.vms.remove(0);
    world.claim("b");
    assert!(matches!(
        a.on_checked(world.now, world.wall(), &world.store.read()),
        Duty::Waiting(_)
    ));
}

/// Guards against holders that alternate: a VM claims only after the lease, and not while the holder lives.
#[test]
fn duty_stays_with_a_living_holder() {
    let mut world = World::new();
    world.vms.remove(0);
    let b = world.claim("b");
    world.vms.insert(0, "a".into());
    let mut a = DutyHolder::new("a".into(), Params::default());
    for _ in 0..100 {
        world.pass(0.1);
        assert!(!a.should_claim(world.now, Some(b.row()), world.fleet()));
    }
    world.vms.remove(1);
    assert!(!a.should_claim(world.now, Some(b.row()), world.fleet()));
    world.pass(3.0);
    assert!(!a.should_claim(world.now, Some(b.row()), world.fleet()));
    world.pass(1.0);
    assert!(a.should_claim(world.now, Some(b.row()), world.fleet()));
    // A VM that sees only itself is more likely cut off.
    world.vms.truncate(1);
    assert!(!a.should_claim(world.now, Some(b.row()), world.fleet()));
}

/// Guards against a window that is recorded twice when the response to the write is lost, and against calls that stop
/// while the store is away.
#[test]
fn record_without_a_response_is_adopted_and_stored_windows_are_still_reported() {
    let mut world = World::new();
    let mut a = world.claim("a");
    world.record(&mut a);
    let record = loop {
        world.pass(0.1);
        a.on_tick(world.now, world.store.duty.as_ref(), world.fleet());
        if let Some(record) = a.next_record(world.wall(), world.fleet()) {
            break record;
        }
    };
    assert!(world.store.record(a.row(), &record));
    assert_eq!(a.next_record(world.wall(), world.fleet()), Some(record.clone()));
    assert!(!world.store.record(a.row(), &record));
    let Duty::Holding(a) = a.on_checked(world.now, world.wall(), &world.store.read()) else {
        panic!("the duty goes on");
    };
    assert_eq!((a.next_window(), a.reports().len()), (record.window + 1, 2));
    assert!(matches!(world.report(*a), Duty::Holding(_)));
}

/// Guards against tokens that a restored store gives out twice, and against windows that are recorded again.
#[test]
fn restored_store_gives_higher_tokens_and_reports_no_window_twice() {
    let mut world = World::new();
    let mut a = world.claim("a");
    let copy = world.store.clone();
    let lost = world.record(&mut a);
    let Duty::Holding(a) = world.report(a) else {
        panic!("the duty goes on")
    };
    world.vms.remove(0);
    let b = world.claim("b");
    // The store is restored to its state before the record and before the claim of `b`.
    world.store = Store { era: 1, ..copy };

    // The holder writes its row again before the earlier one claims.
    let mut b = b;
    let mut earlier = DutyHolder::new("a".into(), Params::default());
    let known = world.store.duty.clone().map(|row| DutyRow {
        version: StoreVersion::new(1, row.version.number),
        ..row
    });
    b.on_tick(world.now, known.as_ref(), world.fleet());
    assert!(b.should_check(world.now, world.wall(), world.fleet()));
    assert!(!earlier.should_claim(world.now, known.as_ref(), world.fleet()));
    let waiting = DutyHolder::new("c".into(), Params::default());
    let stale = waiting.claim(world.wall(), Some(b.row()), &world.store.read());
    assert!(matches!(stale, Duty::Waiting(_)), "{stale:?}");
    let renewed = b.on_checked(world.now, world.wall(), &world.store.read());
    let Duty::Claiming(renewed) = renewed else {
        panic!("{renewed:?}")
    };
    assert_eq!(renewed.row().token.era(), 1);
    world.vms.remove(0);
    world.vms.push("d".into());
    let mut c = world.claim("c");

    assert!(c.token() > a.token() && c.token() >= renewed.row().token);
    let next = world.record(&mut c);
    assert!(next.window > lost.window, "{next:?} {lost:?}");
    let Duty::Holding(_) = world.report(c) else {
        panic!("the duty goes on")
    };
    assert!(!world.platform.has_conflict);
    assert!(world.store.claim(renewed.row(), renewed.expected()).is_none());
}

/// Guards against a token that is used although the store was restored while the claim was written.
#[test]
fn claim_during_a_restore_is_not_used() {
    let mut world = World::new();
    world.pass(10.0);
    let claim = DutyHolder::new("a".into(), Params::default()).claim(world.wall(), None, &world.store.read());
    let Duty::Claiming(claim) = claim else {
        panic!("{claim:?}")
    };
    world.store.era = 1;
    let version = world
        .store
        .claim(claim.row(), claim.expected())
        .expect("the versions are the same");

    let duty = claim.written(world.now, world.wall(), version, &world.store.read());

    assert!(matches!(duty, Duty::Waiting(_)), "{duty:?}");
}

/// Guards against calls that exceed the allowed rate, and against reports that are given up after one lost response.
#[test]
fn unanswered_call_is_repeated_with_the_same_body() {
    let mut world = World::new();
    let mut a = world.claim("a");
    let record = world.record(&mut a);
    let mut calls = 0;
    let mut holding = Box::new(a);
    let mut last: Option<Instant> = None;
    for _ in 0..200 {
        world.pass(0.1);
        holding.on_tick(world.now, world.store.duty.as_ref(), world.fleet());
        let Some(sent) = holding.next_call(world.now) else {
            continue;
        };
        assert_eq!(*sent, record);
        assert!(last.is_none_or(|last| world.now - last >= Params::default().call_interval()));
        last = Some(world.now);
        calls += 1;
        let outcome = if calls < 4 {
            CallOutcome::Unknown
        } else {
            CallOutcome::Accepted
        };
        let Duty::Holding(next) = holding.on_called(world.now, sent.window, outcome) else {
            panic!("the duty goes on");
        };
        holding = next;
    }
    assert_eq!((calls, holding.reports().len()), (4, 0));
}

/// Guards against requests that a jump of the wall clock counts in another window.
#[test]
fn jump_of_the_wall_clock_has_no_effect_until_it_persists() {
    let start = Instant::now();
    let mut clock = WallClock::new(start, START);
    for n in 1..=590 {
        let now = start + secs(f64::from(n) * 0.1);
        clock.observe(now, START + secs(f64::from(n) * 0.1 + 7.0));
        assert_eq!(clock.wall(now), START + (now - start));
    }
    let now = start + secs(61.0);
    clock.observe(now, START + secs(68.0));
    assert_eq!(clock.wall(now), START + secs(68.0));
    // The clocks of the other VMs outvote it.
    clock.observe_fleet(now, START + secs(61.0));
    assert_eq!(clock.wall(now), START + secs(61.0));
}
