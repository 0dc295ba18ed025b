use mh_relay::ChangeLog;
use mh_types::{StoreVersion, VmName};
use tokio::time::Instant;

use super::Origin;
use super::reader_report::{Changes, FeedVersions, ReaderReport};
use crate::source::Subject;
use crate::{Batch, Feed, Update};

/// Result of accepting a batch.
#[derive(Debug)]
pub(crate) enum AcceptOutcome {
    /// The batch holds nothing new.
    Unchanged,
    /// A full snapshot as of the read.
    Snapshot,
    /// Changes since the last batch.
    Changes(Changes),
}

/// Versions, change logs and read status of each feed, whether read from the store or received from other VMs.
#[derive(Debug, Default)]
pub(crate) struct FeedStates {
    feeds: [FeedState; Feed::ALL.len()],
    /// Newest era of the store that this VM knows of; `None` before the first read. Everything from an earlier era is
    /// outdated.
    era: Option<u64>,
}

#[derive(Debug, Default)]
struct FeedState {
    /// `None` until the feed was read, and again after the process was suspended.
    versions: Option<FeedVersions>,
    log: ChangeLog<Subject, Update>,
    /// Whether this VM's last read failed.
    is_failing: bool,
    /// When the state was last confirmed as the newest, and by what.
    confirmation: Option<(Instant, Origin)>,
}

impl FeedStates {
    fn state(&self, feed: Feed) -> &FeedState {
        &self.feeds[feed as usize]
    }

    fn state_mut(&mut self, feed: Feed) -> &mut FeedState {
        &mut self.feeds[feed as usize]
    }

    /// Returns the versions held of `feed`.
    pub(crate) fn versions(&self, feed: Feed) -> Option<FeedVersions> {
        self.state(feed).versions
    }

    /// Discards the versions of `feed`, so that it is read in full again.
    pub(crate) fn invalidate(&mut self, feed: Feed) {
        self.state_mut(feed).versions = None;
    }

    /// Records whether this VM's own read of `feed` failed; returns whether the previous one failed.
    pub(crate) fn set_failing(&mut self, feed: Feed, is_failing: bool) -> bool {
        std::mem::replace(&mut self.state_mut(feed).is_failing, is_failing)
    }

    /// Returns whether this VM's last read of `feed` failed.
    pub(crate) fn is_failing(&self, feed: Feed) -> bool {
        self.state(feed).is_failing
    }

    /// Returns when the state of `feed` was last confirmed as the newest.
    pub(crate) fn confirmed_at(&self, feed: Feed) -> Option<Instant> {
        self.state(feed).confirmation.as_ref().map(|(at, _)| *at)
    }

    /// Returns what confirmed the state of `feed` last.
    pub(crate) fn confirmed_by(&self, feed: Feed) -> Option<&Origin> {
        self.state(feed).confirmation.as_ref().map(|(_, by)| by)
    }

    /// Records that the store is in `era`; returns whether it was restored since this VM last learned its era.
    pub(crate) fn note_era(&mut self, era: u64) -> bool {
        let is_later = self.era.is_some_and(|known| era > known);
        self.era = self.era.max(Some(era));
        is_later
    }

    /// Returns whether `era` is over, so that nothing from it may be used.
    pub(crate) fn is_era_over(&self, era: u64) -> bool {
        self.era.is_some_and(|known| era < known)
    }

    /// Discards the versions of `feed` if they are of an era that is over.
    pub(crate) fn invalidate_outdated(&mut self, feed: Feed) -> bool {
        let is_outdated = self
            .versions(feed)
            .is_some_and(|versions| self.is_era_over(versions.held.era));
        if is_outdated {
            self.invalidate(feed);
        }
        is_outdated
    }

    /// Accepts a batch from the store or from another VM: the changes after the version `after`, or the full state if there
    /// is none.
    pub(crate) fn accept(
        &mut self,
        feed: Feed,
        batch: &Batch,
        after: Option<StoreVersion>,
        origin: &Origin,
        now: Instant,
    ) -> AcceptOutcome {
        // A read that was answered before the store was restored says nothing about its state now.
        if self.is_era_over(batch.version.era) {
            return AcceptOutcome::Unchanged;
        }
        self.note_era(batch.version.era);
        let state = self.state_mut(feed);
        // A stale replica of the store, or a read that a newer report has overtaken, must not revert anything.
        if state.versions.is_some_and(|held| batch.version < held.held) {
            return AcceptOutcome::Unchanged;
        }
        let Some(after) = after else {
            state.confirmation = Some((now, origin.clone()));
            state.log.reset(batch.version);
            state.versions = Some(FeedVersions {
                held: batch.version,
                // The snapshot holds no version of removals that precede it.
                changed: batch.version,
            });
            return AcceptOutcome::Snapshot;
        };
        let Some(versions) = &mut state.versions else {
            return AcceptOutcome::Unchanged;
        };
        // Changes of another era, or after a later version, do not follow from the state held, which may have been read anew
        // since they were asked for.
        if batch.version.era != versions.held.era || after > versions.held {
            return AcceptOutcome::Unchanged;
        }
        state.confirmation = Some((now, origin.clone()));
        let before = *versions;
        versions.held = batch.version;
        if batch.updates.is_empty() || batch.last_changed_version <= before.held {
            return AcceptOutcome::Unchanged;
        }
        versions.changed = batch.last_changed_version;
        let changes = batch.updates.iter().map(|update| (update.subject(), update.clone()));
        state.log.push(batch.last_changed_version, changes);
        AcceptOutcome::Changes(Changes {
            feed,
            after: before.changed,
            updates: batch.updates.clone(),
        })
    }

    /// Returns the versions of all feeds if this VM holds every feed, in the newest era, and its last read of each
    /// succeeded.
    pub(crate) fn reportable_versions(&self) -> Option<[FeedVersions; Feed::ALL.len()]> {
        let mut out = [FeedVersions::default(); Feed::ALL.len()];
        for (versions, state) in out.iter_mut().zip(&self.feeds) {
            let held = state.versions.filter(|_| !state.is_failing)?;
            if self.is_era_over(held.held.era) {
                return None;
            }
            *versions = held;
        }
        Some(out)
    }

    /// Compares with another VM's report. A feed without missed changes counts as held up to the reported version.
    /// Returns the feeds of which the other VM holds newer changes.
    pub(crate) fn compare(&mut self, report: &ReaderReport, from: &VmName, now: Instant) -> Vec<Feed> {
        self.note_era(report.era());
        let mut behind = Vec::new();
        let stated = Feed::ALL.into_iter().zip(report.feeds);
        for (feed, reported) in stated.filter(|(_, reported)| *reported != FeedVersions::UNSTATED) {
            let state = self.state_mut(feed);
            match &mut state.versions {
                Some(own) if own.held >= reported.changed => {
                    own.held = own.held.max(reported.held);
                    state.confirmation = Some((now, Origin::Vm(from.clone())));
                }
                Some(_) => behind.push(feed),
                // A feed that was never read is loaded by its feed loop, so nothing counts as confirmed.
                None => return Vec::from(Feed::ALL),
            }
        }
        behind
    }

    /// Returns the changes after `version`, only the last of each subject; `None` if the log does not reach back that
    /// far.
    ///
    /// A plan is large: sending a series of them to a whole region would saturate a small VM's link for seconds.
    pub(crate) fn since(&self, feed: Feed, version: StoreVersion) -> Option<Vec<Update>> {
        self.state(feed).log.since(version)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/feed_states.rs"]
mod tests;
