mod catch_up;
mod spread;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mh_platform::HttpClient;
use mh_relay::{Election, RelayLimits};
use mh_types::{DomainName, Event, VmName, emit};
use tokio::sync::watch;
use tokio::time::Instant;

use super::feed_states::FeedStates;
use super::news::FeedVersions;
use crate::Feed;
use crate::node::lock;

pub(crate) use catch_up::{CHANGES_PATH, parse_query};

/// Longest wait for changes from another VM of the region. Many that fetch a large plan at once may fill the link of a
/// small VM; those that wait longer read the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

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
