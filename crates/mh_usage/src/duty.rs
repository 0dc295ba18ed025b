use mh_types::{StoreVersion, VmName};
use std::time::Duration;
use tokio::time::Instant;

use crate::holding::MIN_RECORD_DELAY;
use crate::{DutyRow, Holding, Params, StoredUsage, Token};

/// What a VM believes about the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// VMs believed alive.
    pub alive: &'a [VmName],
    /// Number of listed VMs.
    pub listed: usize,
}

impl Fleet<'_> {
    /// Returns whether more than half of the listed VMs are alive. A VM that sees fewer is more likely cut off itself.
    pub fn has_quorum(&self) -> bool {
        self.alive.len() * 2 > self.listed
    }
}

/// Life cycle of the duty on one VM: `Waiting` → `Claiming` → [`Holding`] → `Waiting`.
///
/// Only a `Holding` has a token to call with, and it comes only from a claim whose write the store confirmed.
#[derive(Debug)]
pub struct DutyHolder<S> {
    pub(crate) vm: VmName,
    pub(crate) params: Params,
    pub(crate) state: S,
}

/// The duty of one VM in any of its states.
#[derive(Debug)]
pub enum Duty {
    /// The VM does not hold the duty.
    Waiting(DutyHolder<Waiting>),
    /// A claim is to be written.
    Claiming(Box<DutyHolder<Claiming>>),
    /// The VM holds the duty.
    Holding(Box<DutyHolder<Holding>>),
}

/// The VM does not hold the duty.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Token of the holder that is believed dead, and since when.
    gone: Option<(Option<Token>, Instant)>,
}

/// The VM has decided to write a claim.
#[derive(Debug)]
pub struct Claiming {
    row: DutyRow,
    expected: StoreVersion,
    /// The state of an earlier claim of this process, which a restore of the store interrupted.
    renewed: Option<Holding>,
}

impl<S> DutyHolder<S> {
    pub(crate) fn with<T>(self, state: T) -> DutyHolder<T> {
        DutyHolder {
            vm: self.vm,
            params: self.params,
            state,
        }
    }

    /// Gives up the duty, as another VM holds it or the token was refused.
    pub fn step_down(self) -> DutyHolder<Waiting> {
        self.with(Waiting::default())
    }
}

impl DutyHolder<Waiting> {
    /// Creates the life cycle of `vm`.
    pub fn new(vm: VmName, params: Params) -> Self {
        Self {
            vm,
            params,
            state: Waiting::default(),
        }
    }

    /// Returns whether to read the store and claim the duty; `known` is the row as the feed delivered it.
    ///
    /// The smallest name among the living VMs claims, after the holder has been dead for the take-over delay. A holder
    /// that was restarted claims again at once: its row names it, and nobody else acts meanwhile.
    pub fn should_claim(&mut self, now: Instant, known: Option<&DutyRow>, fleet: Fleet<'_>) -> bool {
        let is_own = known.is_some_and(|row| row.holder == self.vm);
        let is_gone = is_own || known.is_none_or(|row| !fleet.alive.contains(&row.holder));
        if !is_gone {
            self.state.gone = None;
            return false;
        }
        let token = known.map(|row| row.token);
        let gone = self.state.gone.filter(|(gone, _)| *gone == token);
        let (_, since) = *self.state.gone.insert(gone.unwrap_or((token, now)));
        // A restored store may lack the row of a holder that lives, or name an earlier one; the holder writes its row
        // again.
        let is_restarted = known.is_some_and(|row| is_own && row.token.era() == row.version.era);
        let delay = if is_restarted {
            Duration::ZERO
        } else {
            self.params.takeover_delay()
        };
        let is_first = fleet.alive.iter().min() == Some(&self.vm);
        (is_own || is_first) && fleet.has_quorum() && now.saturating_duration_since(since) >= delay
    }

    /// Prepares the claim from a read of the store. The duty stays with the stored holder if the feed did not name it
    /// yet as `known`.
    pub fn claim(self, wall: Duration, known: Option<&DutyRow>, stored: &StoredUsage) -> Duty {
        if stored.duty.as_ref().map(|row| row.token) != known.map(|row| row.token) {
            return Duty::Waiting(self);
        }
        let previous = stored.duty.as_ref();
        // A window that has not ended cannot have been recorded before a restore.
        let is_restored = stored.era > previous.map_or(0, |row| row.token.era());
        let first_open = self.params.window_at(wall + MIN_RECORD_DELAY);
        let first_window = previous.map_or(0, |row| row.first_window);
        let first_window = if is_restored {
            first_window.max(first_open)
        } else {
            first_window
        };
        Duty::Claiming(Box::new(self.claim_from(stored, first_window, None)))
    }
}

impl<S> DutyHolder<S> {
    pub(crate) fn claim_from(
        self,
        stored: &StoredUsage,
        first_window: u64,
        renewed: Option<Holding>,
    ) -> DutyHolder<Claiming> {
        let before_any_write = StoreVersion::new(stored.era, 0);
        let last = stored.duty.as_ref();
        let state = Claiming {
            row: DutyRow {
                holder: self.vm.clone(),
                token: Token::next(last.map(|row| row.token), stored.era),
                first_window,
                version: before_any_write,
            },
            expected: last.map_or(before_any_write, |row| {
                StoreVersion::new(row.token.era(), row.version.number)
            }),
            renewed,
        };
        self.with(state)
    }
}

impl DutyHolder<Claiming> {
    /// Returns the row to write.
    pub fn row(&self) -> &DutyRow {
        &self.state.row
    }

    /// Returns the version that the stored row must have, in the era of its token.
    pub fn expected(&self) -> StoreVersion {
        self.state.expected
    }

    /// Begins to hold the duty, after the write got `version` and the store was read again.
    ///
    /// The read follows the write, so that the earlier holder can record no window after it. If the store was restored
    /// meanwhile, the VM waits: its token may have been issued before.
    pub fn written(mut self, now: Instant, wall: Duration, version: StoreVersion, stored: &StoredUsage) -> Duty {
        let era = self.state.row.token.era();
        self.state.row.version = version;
        if version.era != era || stored.era != era || stored.duty.as_ref() != Some(&self.state.row) {
            return Duty::Waiting(self.step_down());
        }
        let row = self.state.row.clone();
        let holding = match self.state.renewed.take() {
            Some(holding) => holding.renew(now, wall, row, stored),
            None => Holding::new(now, wall, &self.params, row, stored),
        };
        Duty::Holding(Box::new(self.with(holding)))
    }
}
