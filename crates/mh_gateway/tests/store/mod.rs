//! In-memory store that counts the calls of each VM, and can refuse the calls of some VMs or leave calls unanswered.
#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use error_stack::Report;
use mh_gateway::{AnnouncedVm, Batch, ChangesRead, Feed, ShiftRecord, Source, StoredQuarantine, Update, WriteOutcome};
use mh_platform::{BoxFuture, PlatformError, Result};
use mh_poison::Fingerprint;
use mh_types::{Code, ServerName, ServiceName, StoreVersion, VersionName, VmName};
use tokio::sync::watch;

/// Timeout of a call, in addition to the time that it asks the store to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    /// Number of restores so far.
    era: u64,
    version: u64,
    /// Start of the store's clock, at the first read.
    started: Option<tokio::time::Instant>,
    /// All updates with their versions, in order.
    updates: Vec<(Feed, u64, Update)>,
    /// The changes up to this version are no longer available.
    dropped_until: u64,
    refused: HashSet<VmName>,
    /// Feeds whose calls are never answered if they arrive now, of all VMs or of one. Calls that are already waiting are
    /// not affected.
    silent_feeds: HashSet<(Option<VmName>, Feed)>,
    calls: BTreeMap<VmName, usize>,
    /// Calls of each VM for changes of each feed since the start.
    change_calls: HashMap<(VmName, Feed), usize>,
    /// Addresses under which single VMs see servers, instead of those in their entries.
    seen_addrs: BTreeMap<(VmName, ServerName), SocketAddr>,
}

/// The store that all VMs of a test share.
#[derive(Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
}

/// One VM's connection to the store.
pub struct VmSource {
    vm: VmName,
    store: MemoryStore,
}

impl std::fmt::Debug for VmSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "VmSource({})", self.vm)
    }
}

impl MemoryStore {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(()),
        }
    }

    pub fn source(&self, vm: &VmName) -> VmSource {
        VmSource {
            vm: vm.clone(),
            store: self.clone(),
        }
    }

    pub fn put(&self, feed: Feed, update: Update) {
        self.put_unseen(feed, update);
        self.changed.send_modify(|()| {});
    }

    /// Writes without waking the calls that wait for changes.
    pub fn put_unseen(&self, feed: Feed, update: Update) {
        self.with_state(|state| {
            state.version += 1;
            state.updates.push((feed, state.version, update));
        });
    }

    /// Returns the number of the newest version.
    pub fn version(&self) -> u64 {
        self.with_state(|state| state.version)
    }

    /// Restores the store to its state at `version`, whose numbers are given out again in a new era.
    pub fn restore(&self, version: u64) {
        self.with_state(|state| {
            state.era += 1;
            state.version = version;
            state.updates.retain(|(_, written_at, _)| *written_at <= version);
        });
        self.changed.send_modify(|()| {});
    }

    /// Drops the history, so that a VM that has not read everything must read it in full.
    pub fn drop_history(&self) {
        self.with_state(|state| state.dropped_until = state.version);
    }

    /// Returns the VMs that the store lists.
    pub fn listed_vms(&self) -> HashSet<VmName> {
        self.with_state(|state| {
            let mut listed = HashSet::new();
            for (_, _, update) in &state.updates {
                match update {
                    Update::Vm(vm, Some(_)) => drop(listed.insert(vm.clone())),
                    Update::Vm(vm, None) => drop(listed.remove(vm)),
                    _ => {}
                }
            }
            listed
        })
    }

    /// Returns the requests that the store keeps in quarantine.
    pub fn quarantined(&self) -> Vec<StoredQuarantine> {
        self.with_state(|state| {
            let mut stored = BTreeMap::new();
            for (_, _, update) in &state.updates {
                match update {
                    Update::Quarantine(fingerprint, Some(found)) => drop(stored.insert(*fingerprint, found.clone())),
                    Update::Quarantine(fingerprint, None) => drop(stored.remove(fingerprint)),
                    _ => {}
                }
            }
            stored.into_values().collect()
        })
    }

    /// Refuses every call of `vm` from now on.
    pub fn refuse(&self, vm: &VmName) {
        self.with_state(|state| state.refused.insert(vm.clone()));
        // Wakes waiting calls, so that they fail too.
        self.changed.send_modify(|()| {});
    }

    /// Sets whether calls that arrive from now on are left unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        for feed in Feed::ALL {
            self.set_feed_silent(feed, is_silent);
        }
    }

    /// Sets whether calls for `feed` that arrive from now on are left unanswered.
    pub fn set_feed_silent(&self, feed: Feed, is_silent: bool) {
        self.with_state(|state| {
            if is_silent {
                state.silent_feeds.insert((None, feed));
            } else {
                state.silent_feeds.remove(&(None, feed));
            }
        });
    }

    /// Leaves calls of `vm` for `feed` that arrive from now on unanswered.
    pub fn silence_vm(&self, vm: &VmName, feed: Feed) {
        self.with_state(|state| state.silent_feeds.insert((Some(vm.clone()), feed)));
    }

    /// Makes `vm` see the server `name` at `addr`.
    pub fn set_seen_addr(&self, vm: &VmName, name: &str, addr: SocketAddr) {
        self.with_state(|state| state.seen_addrs.insert((vm.clone(), name.into()), addr));
    }

    /// Returns the calls of each VM since the last time.
    pub fn take_calls(&self) -> BTreeMap<VmName, usize> {
        self.with_state(|state| std::mem::take(&mut state.calls))
    }

    /// Returns the calls of `vm` for changes of `feed` that have arrived since the start.
    pub fn change_calls(&self, vm: &VmName, feed: Feed) -> usize {
        self.with_state(|state| state.change_calls.get(&(vm.clone(), feed)).copied().unwrap_or_default())
    }

    fn count_call(&self, vm: &VmName) {
        self.with_state(|state| *state.calls.entry(vm.clone()).or_default() += 1);
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl VmSource {
    /// Makes a call that asks the store to wait up to `wait`; `f` runs when the call arrives.
    async fn call<T>(&self, feed: Feed, wait: Duration, f: impl FnOnce(&mut State) -> T) -> Result<T> {
        self.store.count_call(&self.vm);
        if self.store.with_state(|state| self.is_silent(state, feed)) {
            tokio::time::sleep(wait + CALL_TIMEOUT).await;
            return Err(Report::new(PlatformError(Code::TableTimeout)));
        }
        self.store.with_state(|state| self.check(state).map(|()| f(state)))
    }

    fn is_silent(&self, state: &State, feed: Feed) -> bool {
        let silent = &state.silent_feeds;
        silent.contains(&(None, feed)) || silent.contains(&(Some(self.vm.clone()), feed))
    }

    fn check(&self, state: &State) -> Result<()> {
        if state.refused.contains(&self.vm) {
            return Err(Report::new(PlatformError(Code::TableUnreachable)));
        }
        Ok(())
    }

    fn since(&self, feed: Feed, after: StoreVersion) -> Result<ChangesRead> {
        self.store.with_state(|state| {
            self.check(state)?;
            if after.era != state.era || after.number > state.version || after.number < state.dropped_until {
                return Ok(ChangesRead::HistoryLost { era: state.era });
            }
            Ok(ChangesRead::Changes(batch(state, &self.vm, feed, after.number)))
        })
    }
}

/// Returns `update` as `vm` sees it.
fn seen_by(state: &State, vm: &VmName, update: &Update) -> Update {
    let mut seen = update.clone();
    if let Update::Server(name, Some(entry)) = &mut seen
        && let Some(addr) = state.seen_addrs.get(&(vm.clone(), name.clone()))
    {
        entry.addr = *addr;
    }
    seen
}

fn batch(state: &mut State, vm: &VmName, feed: Feed, after: u64) -> Batch {
    let clock = Duration::from_secs(1) + state.started.get_or_insert_with(tokio::time::Instant::now).elapsed();
    let updates = state.updates.iter();
    let updates: Vec<_> = updates
        .filter(|(update_feed, version, _)| *update_feed == feed && *version > after)
        .collect();
    Batch {
        version: StoreVersion::new(state.era, state.version),
        last_changed_version: StoreVersion::new(
            state.era,
            updates.iter().map(|update| update.1).max().unwrap_or_default(),
        ),
        clock,
        updates: updates
            .into_iter()
            .map(|(_, _, update)| seen_by(state, vm, update))
            .collect(),
    }
}

impl Source for VmSource {
    fn read(&self, feed: Feed) -> BoxFuture<'_, Result<Batch>> {
        Box::pin(async move {
            self.call(feed, Duration::ZERO, |state| batch(state, &self.vm, feed, 0))
                .await
        })
    }

    fn changes(&self, feed: Feed, version: StoreVersion, wait: Duration) -> BoxFuture<'_, Result<ChangesRead>> {
        Box::pin(async move {
            let mut changed = self.store.changed.subscribe();
            let end = tokio::time::Instant::now() + wait;
            self.store
                .with_state(|state| *state.change_calls.entry((self.vm.clone(), feed)).or_default() += 1);
            self.call(feed, wait, |_| ()).await?;
            loop {
                let read = self.since(feed, version)?;
                let is_empty = matches!(&read, ChangesRead::Changes(batch) if batch.updates.is_empty());
                if !is_empty || tokio::time::timeout_at(end, changed.changed()).await.is_err() {
                    return Ok(read);
                }
            }
        })
    }

    fn announce<'a>(&'a self, vm: &'a AnnouncedVm) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.call(Feed::Vms, Duration::ZERO, |_| ()).await?;
            self.store.put(Feed::Vms, Update::Vm(vm.vm.clone(), Some(vm.clone())));
            Ok(())
        })
    }

    fn withdraw<'a>(&'a self, vm: &'a VmName) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.call(Feed::Vms, Duration::ZERO, |_| ()).await?;
            self.store.put(Feed::Vms, Update::Vm(vm.clone(), None));
            Ok(())
        })
    }

    fn record_quarantine<'a>(&'a self, quarantine: &'a StoredQuarantine) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.call(Feed::Vms, Duration::ZERO, |_| ()).await?;
            let update = Update::Quarantine(quarantine.fingerprint, Some(quarantine.clone()));
            self.store.put(Feed::Vms, update);
            Ok(())
        })
    }

    fn remove_quarantine<'a>(&'a self, fingerprint: &'a Fingerprint) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.call(Feed::Vms, Duration::ZERO, |_| ()).await?;
            self.store.put(Feed::Vms, Update::Quarantine(*fingerprint, None));
            Ok(())
        })
    }

    fn record_shift<'a>(
        &'a self,
        _service: &'a ServiceName,
        _record: &'a ShiftRecord,
        _retired: &'a [VersionName],
    ) -> BoxFuture<'a, Result<WriteOutcome>> {
        Box::pin(async move { Ok(WriteOutcome::Conflict) })
    }
}
