use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use mh_platform::HttpClient;
use mh_relay::{Election, RelayLimits};
use mh_types::{Code, DomainName, Event, VmName, emit};
use tokio::sync::watch;
use tokio::time::Instant;

use super::datagram::decode;
use super::feed_states::{Accepted, FeedStates};
use super::news::{Changes, FeedVersions, Fetched, News};
use super::{Datagram, encode};
use crate::node::{GatewayNode, lock};
use crate::request::add;
use crate::{Batch, Feed, Plan, PlanChange, Update};

/// Largest datagram with news, in bytes; it fits one packet. Others fetch changes that do not fit.
const MAX_NEWS: usize = 1200;

/// Path under which a VM gives changes to others of its region.
pub(crate) const CHANGES_PATH: &str = "/changes";

/// Longest wait for changes from another VM of the region. Many that fetch a large plan at once may fill the link of a
/// small VM; those that wait longer read the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which a VM that is asked brings itself up to date before it answers, within the wait of the other.
const SERVE_WAIT: Duration = Duration::from_millis(300);

/// Time between two looks whether this VM's own first read has ended.
const START_POLL: Duration = Duration::from_millis(20);

/// Longest wait of a starting VM for its read of the list of VMs; a store that is slower is read for everything.
const LIST_WAIT: Duration = Duration::from_secs(3);

/// Other VMs of a region from which on a starting VM learns from them. In a smaller region the few calls that it saves
/// the store are not worth the longer way.
const MIN_PEERS: usize = 8;

/// Time for which a starting VM tries to learn from others before it reads the store.
const LEARN_WAIT: Duration = Duration::from_millis(1500);

/// Pause between two such tries.
const LEARN_PAUSE: Duration = Duration::from_millis(50);

/// Largest answer of another VM, in bytes: a plan of thousands of routes, or a register of thousands of servers.
const MAX_FETCHED: usize = 4 * 1024 * 1024;

/// Requests a second of this VM to another one at most; news arrive some times a second.
const FETCHES_PER_S: u32 = 20;

/// This VM's part in passing changes of the store on within its region.
#[derive(Debug)]
pub(crate) struct Relay {
    election: Mutex<Election>,
    feeds: Mutex<FeedStates>,
    is_reader: watch::Sender<bool>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    is_fetching: AtomicBool,
    /// Held by the one that brings a feed up to date, so that others that need it wait instead of asking too.
    turns: [tokio::sync::Mutex<()>; Feed::ALL.len()],
    /// Version of this process's first read of the list of VMs; `None` before it.
    floor: watch::Sender<Option<u64>>,
    /// Whether no other VM of the region is believed alive.
    is_alone: AtomicBool,
    /// Rises with each call to the store that succeeds after one that failed.
    successes: watch::Sender<u64>,
    /// When the register of servers could last not be read, after an outage in which entries of live servers lapsed.
    register_down_at: Mutex<Option<Instant>>,
}

impl Relay {
    pub(crate) fn new(me: VmName, in_force: Duration, now: Instant) -> Self {
        Self {
            election: Mutex::new(Election::new(me, RelayLimits::within(in_force), now)),
            feeds: Mutex::default(),
            is_reader: watch::Sender::new(true),
            clients: Mutex::default(),
            is_fetching: AtomicBool::new(false),
            turns: Default::default(),
            floor: watch::Sender::new(None),
            is_alone: AtomicBool::new(false),
            successes: watch::Sender::new(0),
            register_down_at: Mutex::default(),
        }
    }

    /// What is held of `feed` and how long ago that was confirmed, for the state dump.
    pub(crate) fn feed_state(&self, feed: Feed, now: Instant) -> serde_json::Value {
        let feeds = lock(&self.feeds);
        let versions = feeds.versions(feed);
        serde_json::json!({
            "feed": feed.to_string(),
            "held": versions.map(|versions| versions.held),
            "changed": versions.map(|versions| versions.changed),
            "age_ms": feeds.confirmed_at(feed).map(|at| now.saturating_duration_since(at).as_millis() as u64),
            "failing": feeds.is_failing(feed),
        })
    }

    /// Milliseconds since what is held of `feed` was confirmed as the newest; `None` before the first read.
    pub(crate) fn age_ms(&self, feed: Feed, now: Instant) -> Option<u64> {
        let at = lock(&self.feeds).confirmed_at(feed)?;
        Some(now.saturating_duration_since(at).as_millis() as u64)
    }

    /// Whether `feed` is held up to the version `min`.
    pub(crate) fn holds(&self, feed: Feed, min: u64) -> bool {
        self.versions(feed).is_some_and(|versions| versions.held >= min)
    }

    /// Waits until the list of VMs was read; returns the version of that read.
    async fn floor(&self) -> u64 {
        let mut floor = self.floor.subscribe();
        let read = floor.wait_for(Option::is_some).await;
        // The sender lives as long as this value, so the wait does not fail.
        read.ok().and_then(|floor| *floor).unwrap_or_default()
    }

    /// Versions held of `feed`; `None` when everything must be read.
    pub(crate) fn versions(&self, feed: Feed) -> Option<FeedVersions> {
        lock(&self.feeds).versions(feed)
    }

    pub(crate) fn forget(&self, feed: Feed) {
        lock(&self.feeds).forget(feed);
        if feed == Feed::Vms {
            self.floor.send_replace(None);
        }
    }

    pub(crate) fn is_reader(&self) -> bool {
        *self.is_reader.borrow()
    }

    /// Whether this VM is one of those that should read, and so try again soon when it cannot.
    pub(crate) fn is_first_choice(&self) -> bool {
        lock(&self.election).is_first_choice()
    }

    /// Waits until this VM reads.
    pub(crate) async fn reading(&self) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self.is_reader.subscribe().wait_for(|is_reader| *is_reader).await;
    }

    /// Longest wait of a call for changes of `feed`. Each call for the settings shows that the store is reached.
    pub(crate) fn wait(&self, feed: Feed, longest: Duration) -> Duration {
        // The answer shows at once that the feed can be read again; the VM vouches only then.
        if lock(&self.feeds).is_failing(feed) {
            return Duration::ZERO;
        }
        let election = lock(&self.election);
        let tells_others = !election.is_alone() && !self.is_alone.load(Ordering::Relaxed);
        if feed == Feed::Settings && tells_others {
            election.limits().wait
        } else {
            longest
        }
    }

    pub(crate) fn set_limits(&self, in_force: Duration) {
        lock(&self.election).set_limits(RelayLimits::within(in_force));
    }

    /// Records whether no other VM of the region is believed alive; then nobody relies on this one's news.
    pub(crate) fn set_alone(&self, is_alone: bool) {
        self.is_alone.store(is_alone, Ordering::Relaxed);
    }

    /// The other VMs of the region.
    pub(crate) fn peers(&self) -> Vec<VmName> {
        lock(&self.election).followers().cloned().collect()
    }

    /// Takes the listed VMs of the own region.
    pub(crate) fn set_vms(&self, vms: Vec<(VmName, DomainName)>, now: Instant) {
        let mut election = lock(&self.election);
        election.set_vms(vms, now);
        self.publish(&election);
    }

    pub(crate) fn on_tick(&self, now: Instant) {
        let mut election = lock(&self.election);
        election.on_tick(now);
        self.publish(&election);
    }

    /// Records the outcome of a call of this VM to the store; returns whether it began to fail.
    fn set_read(&self, feed: Feed, succeeded: bool, now: Instant) -> bool {
        let was_failing = lock(&self.feeds).set_failing(feed, !succeeded);
        if succeeded && was_failing {
            self.successes.send_modify(|count| *count += 1);
        }
        if !succeeded {
            let mut election = lock(&self.election);
            election.on_failed_read(now);
            self.publish(&election);
        }
        !succeeded && !was_failing
    }

    /// Waits until a call to the store succeeds after one that failed.
    pub(crate) async fn read_succeeded(&self) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self.successes.subscribe().changed().await;
    }

    /// Records that the register of servers could last not be read at `at`, for long enough that entries lapsed.
    pub(crate) fn on_register_back(&self, at: Instant) {
        *lock(&self.register_down_at) = Some(at);
    }

    /// Forgets what other VMs told, as after a pause of the process.
    pub(crate) fn reset(&self, now: Instant) {
        let mut election = lock(&self.election);
        election.reset(now);
        self.publish(&election);
    }

    fn publish(&self, election: &Election) {
        let is_reader = election.is_reader();
        let changed = self
            .is_reader
            .send_if_modified(|held| std::mem::replace(held, is_reader) != is_reader);
        if changed {
            emit!(
                Event::ReaderChanged,
                reads = is_reader,
                first_choice = election.is_first_choice(),
                others = election.followers().count()
            );
        }
    }

    fn client(&self, addr: SocketAddr) -> Arc<HttpClient> {
        let mut clients = lock(&self.clients);
        let client = clients.entry(addr).or_insert_with(|| {
            let client = HttpClient::new(addr, FETCH_TIMEOUT, FETCHES_PER_S);
            Arc::new(client.with_max_answer_bytes(MAX_FETCHED))
        });
        Arc::clone(client)
    }
}

impl GatewayNode {
    /// Records the outcome of a call of this VM to the store. The others are told at once when it fails, so that another
    /// VM reads for them before they miss this one's news.
    pub(crate) fn on_read(&self, feed: Feed, succeeded: bool, now: Instant) {
        let counters = self.gateway.counters();
        add(if succeeded {
            &counters.store_reads
        } else {
            &counters.store_failures
        });
        let was_reader = self.relay.is_reader();
        if self.relay.set_read(feed, succeeded, now) && was_reader {
            for vm in self.relay.peers() {
                if let Some(addr) = self.peer_addr(&vm) {
                    self.send_to(addr, &Datagram::NoNews);
                }
            }
        }
    }

    /// Records that another VM cannot read the store.
    pub(crate) fn on_no_news(&self, from: &VmName) {
        lock(&self.relay.election).on_silent(from);
    }

    /// Takes in what was read of `feed`, from the store or from another VM, and passes it on.
    pub(crate) fn take_batch(&self, feed: Feed, batch: &Batch, is_whole: bool, now: Instant) {
        // Held while the world takes the batch in, so that nobody is given an older world with newer versions.
        let mut feeds = lock(&self.relay.feeds);
        let accepted = feeds.accept(feed, batch, is_whole, now);
        let is_new = !matches!(accepted, Accepted::Nothing);
        let plan_before = lock(&self.world).plan().cloned();
        if is_new {
            lock(&self.world).apply(feed, batch, is_whole, now);
        }
        drop(feeds);
        if is_new {
            self.rebuild(now);
        }
        if is_new || feed == Feed::Settings {
            let changes = match accepted {
                Accepted::Changes(changes) => Some(changes),
                Accepted::Nothing | Accepted::Whole => None,
            };
            let (changes, plan_change) = told(changes, plan_before.as_deref());
            self.vouch(changes, plan_change, now);
        }
    }

    /// Tells the other VMs of the region what this one holds, if it reads the store.
    fn vouch(&self, changes: Option<Changes>, plan_change: Option<PlanChange>, now: Instant) {
        if !self.relay.is_reader() {
            return;
        }
        let versions = lock(&self.relay.feeds).vouched();
        let clock = lock(&self.world).store_clock(now);
        let (Some(feeds), Some(clock)) = (versions, clock) else {
            return;
        };
        let returned_within = self.gateway.bounds().entry_return;
        let register_down = lock(&self.relay.register_down_at).map(|at| now.saturating_duration_since(at));
        let mut news = News {
            clock,
            feeds,
            register_down: register_down.filter(|age| *age < returned_within),
            changes,
            plan_change,
        };
        let vm = self.gateway.vm();
        let mut bytes = encode(vm, &Datagram::News(news.clone()));
        if bytes.as_ref().is_ok_and(|bytes| bytes.len() > MAX_NEWS) {
            (news.changes, news.plan_change) = (None, None);
            bytes = encode(vm, &Datagram::News(news));
        }
        // Versions and times always have an encoded form.
        let Ok(bytes) = bytes else { return };
        let followers = self.relay.peers();
        let world = lock(&self.world);
        for vm in followers {
            if let Some(addr) = world.vm(&vm).map(|vm| vm.peers) {
                self.send_bytes(addr, &bytes);
            }
        }
    }

    /// Takes in the news of a VM that reads the store.
    pub(crate) fn on_news(self: &Arc<Self>, from: &VmName, mut news: News, now: Instant) {
        if let Some(age) = news.register_down {
            let at = now.checked_sub(age).unwrap_or(now);
            lock(&self.world).on_feed_back(Feed::Servers, at, true);
        }
        if let Some(changes) = news.changes.take() {
            self.take_told(changes, news.plan_change.take(), &news, now);
        }
        let behind = lock(&self.relay.feeds).compare(&news, now);
        if behind.is_empty() {
            self.on_vouched(from, now);
        } else if !behind.iter().any(|feed| self.relay.versions(*feed).is_none())
            && !self.relay.is_fetching.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(fetch(Arc::clone(self), from.clone(), behind, news));
        }
    }

    /// Takes in changes that follow on what this VM holds; others are fetched.
    fn take_told(&self, mut changes: Changes, plan_change: Option<PlanChange>, news: &News, now: Instant) {
        let told = news.feeds[changes.feed as usize];
        let held = self.relay.versions(changes.feed);
        if !held.is_some_and(|held| held.held >= changes.after && held.held < told.changed) {
            return;
        }
        if let Some(change) = plan_change {
            let plan = lock(&self.world).plan().cloned();
            let Some(next) = plan.and_then(|plan| change.apply(&plan)) else {
                return;
            };
            changes.updates.push(Update::Plan(Arc::new(next)));
        }
        let batch = Batch {
            version: told.changed,
            changed: told.changed,
            clock: news.clock,
            updates: changes.updates,
        };
        self.take_batch(changes.feed, &batch, false, now);
    }

    fn on_vouched(&self, from: &VmName, now: Instant) {
        lock(&self.relay.election).on_heard(from, now);
    }

    /// What this VM gives one that holds `feed` up to `version` and needs it up to `min`; `None` when it does not hold
    /// that much within the time that the other waits.
    pub(crate) async fn fetched(self: &Arc<Self>, feed: Feed, version: u64, min: u64) -> Option<Bytes> {
        // A VM that starts has no versions yet, and its own first read brings them.
        let brought = async {
            while self.relay.versions(feed).is_none() {
                tokio::time::sleep(START_POLL).await;
            }
            if self.relay.is_reader() {
                self.read_up_to(feed, min).await
            } else {
                self.catch_up(feed, min, None).await
            }
        };
        if !self.relay.holds(feed, min) && !tokio::time::timeout(SERVE_WAIT, brought).await.unwrap_or(false) {
            return None;
        }
        self.snapshot(feed, version)
    }

    fn snapshot(&self, feed: Feed, version: u64) -> Option<Bytes> {
        let now = Instant::now();
        let feeds = lock(&self.relay.feeds);
        let versions = feeds.versions(feed)?;
        let changes = feeds.since(feed, version);
        let world = lock(&self.world);
        let fetched = Fetched {
            clock: world.store_clock(now)?,
            versions,
            is_whole: changes.is_none(),
            updates: changes.unwrap_or_else(|| world.snapshot(feed, now)),
        };
        encode(self.gateway.vm(), &fetched).ok().map(Bytes::from)
    }

    /// Brings `feed` up to the version `min` from other VMs of the region; returns whether it is. `told_by` is a VM that
    /// said that it holds it.
    ///
    /// Each VM fetches from the one before it in a tree, so that no VM gives more than a few copies.
    pub(crate) async fn catch_up(&self, feed: Feed, min: u64, told_by: Option<&VmName>) -> bool {
        let _turn = self.relay.turns[feed as usize].lock().await;
        if self.relay.holds(feed, min) {
            return true;
        }
        let sources = lock(&self.relay.election).sources();
        let told_by = told_by.filter(|vm| !sources.contains(vm));
        for vm in sources.iter().chain(told_by) {
            let Some(addr) = self.peer_addr(vm) else { continue };
            match self.fetch_feed(addr, feed, min).await {
                Ok(()) if self.relay.holds(feed, min) => return true,
                Ok(()) => {}
                Err(e) => emit!(Event::FetchFailed, vm = vm, feed = feed, error = e),
            }
        }
        false
    }

    async fn fetch_feed(&self, addr: SocketAddr, feed: Feed, min: u64) -> Result<(), String> {
        let held = self.relay.versions(feed).map_or(0, |versions| versions.held);
        let path = format!("{CHANGES_PATH}?{}&{held}&{min}", feed as usize);
        let client = self.relay.client(addr);
        let answer = client.send(Method::GET, &path, None, Code::PeerUnreachable).await;
        let answer = answer.and_then(|answer| answer.expect_ok(Code::PeerUnreachable));
        let answer = answer.map_err(|e| e.current_context().to_string())?;
        let (_, fetched) = decode::<Fetched>(&answer.body)?;
        add(&self.gateway.counters().fetches);
        let batch = Batch {
            version: fetched.versions.held,
            changed: fetched.versions.changed,
            clock: fetched.clock,
            updates: fetched.updates,
        };
        self.take_batch(feed, &batch, fetched.is_whole, Instant::now());
        Ok(())
    }

    /// Brings `feed` up to the version `min` from the store, once for all VMs that ask for it at a time.
    async fn read_up_to(&self, feed: Feed, min: u64) -> bool {
        let _turn = self.relay.turns[feed as usize].lock().await;
        if self.relay.holds(feed, min) {
            return true;
        }
        if let Err(e) = self.read_once(feed).await {
            emit!(
                Event::FetchFailed,
                vm = "store",
                feed = feed,
                error = e.current_context()
            );
        }
        self.relay.holds(feed, min)
    }

    /// Reads the changes of `feed` from the store, beside the calls that wait for changes.
    async fn read_once(&self, feed: Feed) -> mh_platform::Result<()> {
        let held = self.relay.versions(feed).unwrap_or_default().held;
        let (batch, is_whole) = match self.source.changes(feed, held, Duration::ZERO).await? {
            Some(batch) => (batch, false),
            None => (self.source.read(feed).await?, true),
        };
        self.take_batch(feed, &batch, is_whole, Instant::now());
        Ok(())
    }

    /// Learns all of `feed` from other VMs of the region; returns whether it did.
    ///
    /// What they give is at least as new as this VM's own read of the list of VMs, so that nothing returns that was gone
    /// when this process started.
    pub(crate) async fn learn(&self, feed: Feed) -> bool {
        let Ok(floor) = tokio::time::timeout(LIST_WAIT, self.relay.floor()).await else {
            return false;
        };
        if self.relay.is_first_choice() || self.relay.peers().len() < MIN_PEERS {
            return false;
        }
        let end = Instant::now() + LEARN_WAIT;
        while Instant::now() < end {
            if self.catch_up(feed, floor, None).await {
                return true;
            }
            tokio::time::sleep(LEARN_PAUSE).await;
        }
        false
    }

    /// Takes in the first read of the list of VMs, which tells whom to learn the rest from.
    pub(crate) fn take_list(&self, batch: &Batch, now: Instant) {
        self.take_batch(Feed::Vms, batch, true, now);
        let world = lock(&self.world);
        let region = world.vms().filter(|vm| vm.region == self.cfg.region);
        let region = region.map(|vm| (vm.vm.clone(), vm.domain.clone()));
        self.relay.set_vms(region.collect(), now);
        drop(world);
        self.relay.floor.send_replace(Some(batch.version));
    }
}

/// What of `changes` is told in news: a plan as what leads to it from the one before.
fn told(changes: Option<Changes>, plan_before: Option<&Plan>) -> (Option<Changes>, Option<PlanChange>) {
    let Some(mut changes) = changes else {
        return (None, None);
    };
    let plan = changes.updates.iter().rev().find_map(|update| match update {
        Update::Plan(plan) => Some(Arc::clone(plan)),
        _ => None,
    });
    let Some(plan) = plan else {
        return (Some(changes), None);
    };
    let change = plan_before.and_then(|before| PlanChange::between(before, &plan));
    if change.is_some() {
        changes.updates.retain(|update| !matches!(update, Update::Plan(_)));
    }
    (Some(changes), change)
}

/// Fetches the changes of the feeds `behind` that the VM `from` told of in `news`.
async fn fetch(node: Arc<GatewayNode>, from: VmName, behind: Vec<Feed>, news: News) {
    for feed in behind {
        let min = news.feeds[feed as usize].changed;
        if !node.catch_up(feed, min, Some(&from)).await && !node.read_up_to(feed, min).await {
            break;
        }
    }
    node.relay.is_fetching.store(false, Ordering::Release);
    let now = Instant::now();
    if lock(&node.relay.feeds).compare(&news, now).is_empty() {
        node.on_vouched(&from, now);
    }
}

/// Reads the query of [`CHANGES_PATH`]: the place of the feed, the version that the asking VM holds, and the one that it
/// needs.
pub(crate) fn parse_query(query: &str) -> Option<(Feed, u64, u64)> {
    let mut parts = query.split('&');
    let feed = Feed::ALL.get(parts.next()?.parse::<usize>().ok()?)?;
    let (held, min) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((*feed, held, min))
}
