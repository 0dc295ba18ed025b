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

use super::Datagram;
use super::feed_states::{Accepted, FeedStates};
use super::news::{Changes, FeedVersions, Fetched, News};
use crate::node::{GatewayNode, lock};
use crate::{Batch, Feed};

/// Largest datagram with news, in bytes; it fits one packet. Others fetch changes that do not fit.
const MAX_NEWS: usize = 1200;

/// Path under which a VM gives changes to others of its region.
pub(crate) const CHANGES_PATH: &str = "/changes";

/// Longest wait for changes from another VM of the region. Many that fetch a large plan at once may fill the link of a
/// small VM; those that wait longer read the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

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
            successes: watch::Sender::new(0),
            register_down_at: Mutex::default(),
        }
    }

    /// Versions held of `feed`; `None` when everything must be read.
    pub(crate) fn versions(&self, feed: Feed) -> Option<FeedVersions> {
        lock(&self.feeds).versions(feed)
    }

    pub(crate) fn forget(&self, feed: Feed) {
        lock(&self.feeds).forget(feed);
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
        if feed == Feed::Settings && !election.is_alone() {
            election.limits().wait
        } else {
            longest
        }
    }

    pub(crate) fn set_limits(&self, in_force: Duration) {
        lock(&self.election).set_limits(RelayLimits::within(in_force));
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
        let client = clients
            .entry(addr)
            .or_insert_with(|| Arc::new(HttpClient::new(addr, FETCH_TIMEOUT, FETCHES_PER_S)));
        Arc::clone(client)
    }
}

impl GatewayNode {
    /// Records the outcome of a call of this VM to the store. The others are told at once when it fails, so that another
    /// VM reads for them before they miss this one's news.
    pub(crate) fn on_read(&self, feed: Feed, succeeded: bool, now: Instant) {
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
        let accepted = feeds.accept(feed, batch, is_whole);
        let is_new = !matches!(accepted, Accepted::Nothing);
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
            self.vouch(changes, now);
        }
    }

    /// Tells the other VMs of the region what this one holds, if it reads the store.
    fn vouch(&self, changes: Option<Changes>, now: Instant) {
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
        };
        let vm = self.gateway.vm();
        let mut bytes = postcard::to_stdvec(&(vm, Datagram::News(news.clone())));
        if bytes.as_ref().is_ok_and(|bytes| bytes.len() > MAX_NEWS) {
            news.changes = None;
            bytes = postcard::to_stdvec(&(vm, Datagram::News(news)));
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
            let told = news.feeds[changes.feed as usize];
            let held = self.relay.versions(changes.feed);
            if held.is_some_and(|held| held.held >= changes.after && held.held < told.changed) {
                let batch = Batch {
                    version: told.changed,
                    changed: told.changed,
                    clock: news.clock,
                    updates: changes.updates,
                };
                self.take_batch(changes.feed, &batch, false, now);
            }
        }
        let behind = lock(&self.relay.feeds).compare(&news);
        if behind.is_empty() {
            self.on_vouched(from, now);
        } else if !behind.iter().any(|feed| self.relay.versions(*feed).is_none())
            && !self.relay.is_fetching.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(fetch(Arc::clone(self), from.clone(), behind, news));
        }
    }

    fn on_vouched(&self, from: &VmName, now: Instant) {
        lock(&self.relay.election).on_heard(from, now);
    }

    /// What this VM gives one that holds `feed` up to `version`.
    pub(crate) fn fetched(&self, feed: Feed, version: u64) -> Option<Bytes> {
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
        postcard::to_stdvec(&fetched).ok().map(Bytes::from)
    }
}

/// Fetches the changes of the feeds `behind` from the VM `from` that told `news`.
async fn fetch(node: Arc<GatewayNode>, from: VmName, behind: Vec<Feed>, news: News) {
    let addr = node.peer_addr(&from);
    for feed in behind {
        let (Some(addr), Some(held)) = (addr, node.relay.versions(feed)) else {
            break;
        };
        if let Err(e) = fetch_feed(&node, addr, feed, held.held).await {
            emit!(Event::FetchFailed, vm = from, feed = feed, error = e);
            if let Err(e) = read_once(&node, feed, held.held).await {
                emit!(
                    Event::FetchFailed,
                    vm = "store",
                    feed = feed,
                    error = e.current_context()
                );
                break;
            }
        }
    }
    node.relay.is_fetching.store(false, Ordering::Release);
    if lock(&node.relay.feeds).compare(&news).is_empty() {
        node.on_vouched(&from, Instant::now());
    }
}

/// Reads the changes of `feed` from the store in place of another VM.
async fn read_once(node: &GatewayNode, feed: Feed, after: u64) -> mh_platform::Result<()> {
    let (batch, is_whole) = match node.source.changes(feed, after, Duration::ZERO).await? {
        Some(batch) => (batch, false),
        None => (node.source.read(feed).await?, true),
    };
    node.take_batch(feed, &batch, is_whole, Instant::now());
    Ok(())
}

async fn fetch_feed(node: &GatewayNode, addr: SocketAddr, feed: Feed, after: u64) -> Result<(), String> {
    let path = format!("{CHANGES_PATH}?{}&{after}", feed as usize);
    let client = node.relay.client(addr);
    let answer = client.send(Method::GET, &path, None, Code::PeerUnreachable).await;
    let answer = answer.and_then(|answer| answer.expect_ok(Code::PeerUnreachable));
    let answer = answer.map_err(|e| e.current_context().to_string())?;
    let fetched: Fetched = postcard::from_bytes(&answer.body).map_err(|e| e.to_string())?;
    let batch = Batch {
        version: fetched.versions.held,
        changed: fetched.versions.changed,
        clock: fetched.clock,
        updates: fetched.updates,
    };
    node.take_batch(feed, &batch, fetched.is_whole, Instant::now());
    Ok(())
}

/// Reads the query of [`CHANGES_PATH`]: the place of the feed, and the version that the asking VM holds.
pub(crate) fn parse_query(query: &str) -> Option<(Feed, u64)> {
    let (feed, version) = query.split_once('&')?;
    let feed = Feed::ALL.get(feed.parse::<usize>().ok()?)?;
    Some((*feed, version.parse().ok()?))
}
