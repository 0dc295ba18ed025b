use mh_relay::ChangeLog;
use tokio::time::Instant;

use super::news::{Changes, FeedVersions, News};
use crate::source::Subject;
use crate::{Batch, Feed, Update};

/// What a read brought.
#[derive(Debug)]
pub(crate) enum Accepted {
    /// Nothing that this VM did not hold.
    Nothing,
    /// Everything, as of the read.
    Whole,
    /// Changes since the last one.
    Changes(Changes),
}

/// What this VM holds of each feed, from the store or from other VMs.
#[derive(Debug, Default)]
pub(crate) struct FeedStates([FeedState; Feed::ALL.len()]);

#[derive(Debug, Default)]
struct FeedState {
    /// `None` until the feed was read, and after a pause of the process.
    versions: Option<FeedVersions>,
    log: ChangeLog<Subject, Update>,
    /// Whether this VM's last read failed.
    is_failing: bool,
    /// When what is held was last confirmed as the newest, by a read or by another VM's news.
    confirmed_at: Option<Instant>,
}

impl FeedStates {
    fn of(&self, feed: Feed) -> &FeedState {
        &self.0[feed as usize]
    }

    fn of_mut(&mut self, feed: Feed) -> &mut FeedState {
        &mut self.0[feed as usize]
    }

    /// Versions held of `feed`.
    pub(crate) fn versions(&self, feed: Feed) -> Option<FeedVersions> {
        self.of(feed).versions
    }

    /// Has `feed` read as a whole again.
    pub(crate) fn forget(&mut self, feed: Feed) {
        self.of_mut(feed).versions = None;
    }

    /// Records whether this VM's own read of `feed` failed; returns whether the one before did.
    pub(crate) fn set_failing(&mut self, feed: Feed, is_failing: bool) -> bool {
        std::mem::replace(&mut self.of_mut(feed).is_failing, is_failing)
    }

    /// Whether this VM's last read of `feed` failed.
    pub(crate) fn is_failing(&self, feed: Feed) -> bool {
        self.of(feed).is_failing
    }

    /// When what is held of `feed` was last confirmed as the newest.
    pub(crate) fn confirmed_at(&self, feed: Feed) -> Option<Instant> {
        self.of(feed).confirmed_at
    }

    /// Takes in what a read told, from the store or from another VM.
    pub(crate) fn accept(&mut self, feed: Feed, batch: &Batch, is_whole: bool, now: Instant) -> Accepted {
        let state = self.of_mut(feed);
        // An answer from an old copy of the store, or one that another VM's news overtook, must take nothing back.
        if state.versions.is_some_and(|held| batch.version < held.held) {
            return Accepted::Nothing;
        }
        state.confirmed_at = Some(now);
        if is_whole {
            state.log.reset(batch.version);
            state.versions = Some(FeedVersions {
                held: batch.version,
                // What was removed before the read has no version in it.
                changed: batch.version,
            });
            return Accepted::Whole;
        }
        let Some(versions) = &mut state.versions else {
            return Accepted::Nothing;
        };
        let before = *versions;
        versions.held = batch.version;
        if batch.updates.is_empty() || batch.changed <= before.held {
            return Accepted::Nothing;
        }
        versions.changed = batch.changed;
        let changes = batch.updates.iter().map(|update| (update.subject(), update.clone()));
        state.log.push(batch.changed, changes);
        Accepted::Changes(Changes {
            feed,
            after: before.changed,
            updates: batch.updates.clone(),
        })
    }

    /// What this VM holds, if its own reads of every feed succeed.
    pub(crate) fn vouched(&self) -> Option<[FeedVersions; Feed::ALL.len()]> {
        let mut out = [FeedVersions::default(); Feed::ALL.len()];
        for (versions, state) in out.iter_mut().zip(&self.0) {
            *versions = state.versions.filter(|_| !state.is_failing)?;
        }
        Some(out)
    }

    /// Compares with another VM's news: what is held up to date counts as held up to its version. Returns the feeds of
    /// which the other holds more.
    pub(crate) fn compare(&mut self, news: &News, now: Instant) -> Vec<Feed> {
        let mut behind = Vec::new();
        for (feed, told) in Feed::ALL.into_iter().zip(news.feeds) {
            let state = self.of_mut(feed);
            match &mut state.versions {
                Some(own) if own.held >= told.changed => {
                    own.held = own.held.max(told.held);
                    state.confirmed_at = Some(now);
                }
                Some(_) => behind.push(feed),
                // The first read goes to the store.
                None => return Vec::from(Feed::ALL),
            }
        }
        behind
    }

    /// The changes after `version`, the last of each subject only; `None` when they are not all kept.
    ///
    /// A plan is large: five in a row to a whole region take a small VM's link seconds.
    pub(crate) fn since(&self, feed: Feed, version: u64) -> Option<Vec<Update>> {
        self.of(feed).log.since(version)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/feed_states.rs"]
mod tests;
