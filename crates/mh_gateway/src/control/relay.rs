mod catch_up;
mod publish;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mh_platform::HttpClient;
use mh_relay::{Election, RelayTimings};
use mh_sync::Mutex;
use mh_types::{DomainName, Event, StoreVersion, VmName, emit};
use tokio::sync::watch;
use tokio::time::Instant;

use super::ControlState;
use super::reader_report::FeedVersions;
use crate::Feed;

pub(crate) use catch_up::{CHANGES_PATH, parse_changes_query};

/// Longest wait for changes from another VM of the region. If many VMs fetch a large plan at once, they can saturate a
/// small VM's link; those that time out read the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response of another VM, in bytes: enough for a plan of thousands of routes or a server registry of thousands
/// of entries.
const MAX_FETCH_BYTES: usize = 4 * 1024 * 1024;

/// Most requests per second from this VM to one other VM; reports arrive a few times per second.
const MAX_FETCHES_PER_S: u32 = 20;

/// A time in which the store failed calls or left them unanswered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    /// When the first of these calls was sent.
    pub(crate) lost_at: Instant,
    /// When the first call was sent that the store answered again.
    pub(crate) answered_at: Instant,
}

/// This VM's part in distributing changes of the store within its region.
#[derive(Debug)]
pub(crate) struct Relay {
    election: Mutex<Election>,
    control: Arc<Mutex<ControlState>>,
    is_reader: watch::Sender<bool>,
    /// Whether this VM must notice by its own calls when the store answers again.
    is_leading_caller: watch::Sender<bool>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    is_fetching: AtomicBool,
    /// Held by the task that brings a feed up to date, so that other tasks wait instead of sending the same request.
    catch_up_locks: [tokio::sync::Mutex<()>; Feed::ALL.len()],
    /// Version of this process's first read of the VM list; `None` before it.
    vm_list_version: watch::Sender<Option<StoreVersion>>,
    /// Whether no other VM of the region is considered alive.
    no_live_peers: AtomicBool,
    /// When the first call was sent that the store failed or left unanswered in the current outage.
    lost_at: Mutex<Option<Instant>>,
    /// The last outage of the store that is over.
    last_outage: watch::Sender<Option<Outage>>,
    /// Number of restores of the store that this VM has learned of.
    restores: watch::Sender<u64>,
    /// Time of the last failed read of the server registry, after an outage in which entries of live servers expired.
    registry_down_at: Mutex<Option<Instant>>,
    /// Whether the settings were last logged as not confirmed in time.
    is_stale: AtomicBool,
}

impl Relay {
    pub(crate) fn new(
        own_vm: VmName,
        propagation_deadline: Duration,
        control: Arc<Mutex<ControlState>>,
        now: Instant,
    ) -> Self {
        Self {
            election: Mutex::new(Election::new(
                own_vm,
                RelayTimings::for_deadline(propagation_deadline),
                now,
            )),
            control,
            is_reader: watch::Sender::new(true),
            is_leading_caller: watch::Sender::new(true),
            clients: Mutex::default(),
            is_fetching: AtomicBool::new(false),
            catch_up_locks: Default::default(),
            vm_list_version: watch::Sender::new(None),
            no_live_peers: AtomicBool::new(false),
            lost_at: Mutex::default(),
            last_outage: watch::Sender::new(None),
            restores: watch::Sender::new(0),
            registry_down_at: Mutex::default(),
            is_stale: AtomicBool::new(false),
        }
    }

    /// Returns the versions of `feed` and the time since they were confirmed, for the state dump.
    pub(crate) fn feed_state(&self, feed: Feed, now: Instant) -> serde_json::Value {
        let control = self.control.lock();
        let feeds = &control.feeds;
        let versions = feeds.versions(feed);
        serde_json::json!({
            "feed": feed.to_string(),
            "held": versions.map(|versions| versions.held.to_string()),
            "changed": versions.map(|versions| versions.changed.to_string()),
            "age_ms": feeds.confirmed_at(feed).map(|at| now.saturating_duration_since(at).as_millis() as u64),
            "confirmed_by": feeds.confirmed_by(feed).map(ToString::to_string),
            "failing": feeds.is_failing(feed),
        })
    }

    /// Returns the milliseconds since the state of `feed` was confirmed as the newest; `None` before the first read.
    pub(crate) fn age_ms(&self, feed: Feed, now: Instant) -> Option<u64> {
        self.control.lock().age_ms(feed, now)
    }

    /// Logs when the settings were not confirmed for longer than `max_age`, and when they are again.
    pub(crate) fn log_settings_age(&self, max_age: Duration, now: Instant) {
        let (age, confirmed_by, is_failing) = {
            let control = self.control.lock();
            let Some(at) = control.feeds.confirmed_at(Feed::Settings) else {
                return;
            };
            let confirmed_by = control.feeds.confirmed_by(Feed::Settings).cloned();
            let age = now.saturating_duration_since(at);
            (age, confirmed_by, control.feeds.is_failing(Feed::Settings))
        };
        let is_stale = age > max_age;
        if self.is_stale.swap(is_stale, Ordering::Relaxed) == is_stale {
            return;
        }
        emit!(
            if is_stale {
                Event::NotCurrent
            } else {
                Event::CurrentAgain
            },
            age_ms = age.as_millis(),
            confirmed_by = confirmed_by.as_ref().map(ToString::to_string).unwrap_or_default(),
            reads = self.is_reader(),
            failing = is_failing
        );
    }

    /// Returns whether `feed` is held up to at least version `min`.
    pub(crate) fn holds(&self, feed: Feed, min: StoreVersion) -> bool {
        self.versions(feed).is_some_and(|versions| versions.held >= min)
    }

    /// Waits for the first read of the VM list; returns its version.
    async fn vm_list_version(&self) -> StoreVersion {
        let mut version = self.vm_list_version.subscribe();
        let read = version.wait_for(Option::is_some).await;
        // The sender lives as long as this value, so the wait does not fail.
        read.ok().and_then(|version| *version).unwrap_or_default()
    }

    /// Returns the versions held of `feed`; `None` if it must be read in full.
    pub(crate) fn versions(&self, feed: Feed) -> Option<FeedVersions> {
        self.control.lock().feeds.versions(feed)
    }

    pub(crate) fn invalidate(&self, feed: Feed) {
        self.control.lock().feeds.invalidate(feed);
        if feed == Feed::Vms {
            self.vm_list_version.send_replace(None);
        }
    }

    /// Records that the store is in `era`. If it was restored since this VM last learned its era, the reads of all feeds
    /// start over.
    pub(crate) fn note_era(&self, era: u64) {
        let is_restored = self.control.lock().feeds.note_era(era);
        if is_restored {
            self.on_restored(era);
        }
    }

    fn on_restored(&self, era: u64) {
        emit!(Event::StoreRestored, era = era);
        self.restores.send_modify(|count| *count += 1);
    }

    /// Returns how many restores of the store this VM has learned of.
    pub(crate) fn restores(&self) -> u64 {
        *self.restores.borrow()
    }

    /// Waits until this VM learns of a restore after the first `seen` ones.
    pub(crate) async fn store_restored(&self, seen: u64) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self.restores.subscribe().wait_for(|count| *count != seen).await;
    }

    /// Discards the versions of `feed` if they are from before a restore of the store.
    pub(crate) fn invalidate_outdated(&self, feed: Feed) {
        let is_outdated = self.control.lock().feeds.invalidate_outdated(feed);
        if is_outdated && feed == Feed::Vms {
            self.vm_list_version.send_replace(None);
        }
    }

    /// Returns whether a report from `era` is from before a restore of the store.
    pub(crate) fn is_era_over(&self, era: u64) -> bool {
        self.control.lock().feeds.is_era_over(era)
    }

    pub(crate) fn is_reader(&self) -> bool {
        *self.is_reader.borrow()
    }

    /// Returns whether this VM is one of the preferred readers, which retry soon after a failure.
    pub(crate) fn is_preferred_reader(&self) -> bool {
        self.election.lock().is_preferred_reader()
    }

    /// Returns whether this VM must notice by its own calls when the store answers again, so that it calls often.
    pub(crate) fn is_leading_caller(&self) -> bool {
        *self.is_leading_caller.borrow()
    }

    /// Waits until this VM is a leading caller.
    pub(crate) async fn became_leading_caller(&self) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self
            .is_leading_caller
            .subscribe()
            .wait_for(|is_leading| *is_leading)
            .await;
    }

    /// Waits until this VM is a reader.
    pub(crate) async fn became_reader(&self) {
        // The sender lives as long as this value, so the wait does not fail.
        let _ = self.is_reader.subscribe().wait_for(|is_reader| *is_reader).await;
    }

    /// Returns whether this VM's last read of `feed` failed.
    pub(crate) fn is_failing(&self, feed: Feed) -> bool {
        self.control.lock().feeds.is_failing(feed)
    }

    /// Returns the longest wait of a call for changes of `feed`. Calls for the settings are short where other VMs rely
    /// on this one, since each one shows that the store can be reached.
    ///
    /// No call waits long: one that the store never answers looks like one for which there are no changes.
    pub(crate) fn poll_wait(&self, feed: Feed) -> Duration {
        // An immediate answer shows whether the feed can be read again; this VM reports to others only after that.
        if self.is_failing(feed) {
            return Duration::ZERO;
        }
        let election = self.election.lock();
        let tells_others = !election.all_vms_read() && !self.no_live_peers.load(Ordering::Relaxed);
        let timings = election.timings();
        match feed {
            Feed::Settings if tells_others => timings.max_read_wait,
            Feed::Settings => timings.lone_read_wait,
            Feed::Servers | Feed::Shifts | Feed::Vms => timings.slow_read_wait,
        }
    }

    pub(crate) fn set_propagation_deadline(&self, deadline: Duration) {
        self.election.lock().set_timings(RelayTimings::for_deadline(deadline));
    }

    /// Records whether no other VM of the region is considered alive; then no VM relies on this one's reports.
    pub(crate) fn set_no_live_peers(&self, no_live_peers: bool) {
        self.no_live_peers.store(no_live_peers, Ordering::Relaxed);
    }

    /// Returns the other VMs of the region.
    pub(crate) fn peers(&self) -> Vec<VmName> {
        self.election.lock().peers().cloned().collect()
    }

    /// Sets the listed VMs of this VM's region.
    pub(crate) fn set_vms(&self, vms: Vec<(VmName, DomainName)>, now: Instant) {
        let mut election = self.election.lock();
        election.set_vms(vms, now);
        self.update_reader_role(&election);
    }

    pub(crate) fn on_tick(&self, now: Instant) {
        let mut election = self.election.lock();
        election.on_tick(now);
        self.update_reader_role(&election);
    }

    /// Records the outcome of a call of this VM to the store; returns whether calls began to fail with it.
    fn record_read(&self, feed: Feed, succeeded: bool, now: Instant) -> bool {
        let was_failing = self.control.lock().feeds.set_failing(feed, !succeeded);
        if !succeeded {
            let mut election = self.election.lock();
            election.on_read_failed(now);
            self.update_reader_role(&election);
        }
        !succeeded && !was_failing
    }

    /// Records that the store failed a call that was sent at `sent_at`, or has not answered it in time.
    pub(crate) fn on_call_lost(&self, sent_at: Instant) {
        let mut lost_at = self.lost_at.lock();
        *lost_at = Some(lost_at.map_or(sent_at, |at| at.min(sent_at)));
    }

    /// Forgets the calls that were lost, because this VM no longer reads the store.
    pub(crate) fn clear_lost_calls(&self) {
        *self.lost_at.lock() = None;
    }

    /// Records that the store answered a call sent at `answered_at` after one sent at `lost_at` was lost; returns when
    /// the first call of any feed was lost.
    pub(crate) fn on_answered_again(&self, lost_at: Instant, answered_at: Instant) -> Instant {
        let first_lost_at = self.lost_at.lock().take();
        let lost_at = first_lost_at.map_or(lost_at, |at| at.min(lost_at));
        self.last_outage.send_replace(Some(Outage { lost_at, answered_at }));
        lost_at
    }

    /// Waits until an outage of the store is over that may have lost a call sent at `sent_at`.
    pub(crate) async fn outage_over(&self, sent_at: Instant) -> Outage {
        let mut last_outage = self.last_outage.subscribe();
        let is_later = |outage: &Option<Outage>| outage.is_some_and(|outage| outage.answered_at > sent_at);
        let outage = last_outage.wait_for(is_later).await.ok().and_then(|outage| *outage);
        // The sender lives as long as this value, so the wait does not fail.
        outage.unwrap_or(Outage {
            lost_at: sent_at,
            answered_at: sent_at,
        })
    }

    /// Records `at`, the time of the last failed read of the server registry, after an outage long enough for entries
    /// to expire.
    pub(crate) fn on_registry_recovered(&self, at: Instant) {
        *self.registry_down_at.lock() = Some(at);
    }

    /// Discards what other VMs reported, after a suspension of the process.
    pub(crate) fn reset(&self, now: Instant) {
        let mut election = self.election.lock();
        election.reset(now);
        self.update_reader_role(&election);
    }

    fn update_reader_role(&self, election: &Election) {
        let is_leading = election.is_leading_caller();
        self.is_leading_caller
            .send_if_modified(|held| std::mem::replace(held, is_leading) != is_leading);
        let is_reader = election.is_reader();
        let changed = self
            .is_reader
            .send_if_modified(|held| std::mem::replace(held, is_reader) != is_reader);
        if changed {
            emit!(
                Event::ReaderChanged,
                reads = is_reader,
                first_choice = election.is_preferred_reader(),
                others = election.peers().count()
            );
        }
    }

    fn client(&self, addr: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock();
        let client = clients.entry(addr).or_insert_with(|| {
            let client = HttpClient::new(addr, FETCH_TIMEOUT, MAX_FETCHES_PER_S);
            Arc::new(client.with_max_response_bytes(MAX_FETCH_BYTES))
        });
        Arc::clone(client)
    }
}
