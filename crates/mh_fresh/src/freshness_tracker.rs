use std::collections::BTreeMap;
use std::time::Duration;

use mh_types::{Incarnation, Revision, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::attestation::{Attestation, MAX_HELD_DURATION, STEADY_DURATION};
use crate::member_index::{DomainMembers, MemberIndex};
use crate::{
    Acceptance, AttestationSummary, BitSet, FreshnessStatus, HeldRevisions, Report, ReportScope, Roster, SummaryGroup,
};

/// Number of age classes, each an equal part of the bound, into which attestations are grouped in an attestation
/// summary.
///
/// A group carries the age of its oldest attestation. Without the classes, one dead member would make the attestations
/// of its whole domain look as old as its own until they expire.
const AGE_CLASSES: u32 = 4;

/// Tracks whether this VM is current with the settings and which changes are accepted.
///
/// The control task of each VM process owns one tracker. See the [crate docs](crate) for the rules.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    own_name: VmName,
    incarnation: Incarnation,
    bound: Duration,
    roster: Roster,
    members: MemberIndex,
    /// Revisions held and when they were first held, oldest first; the last one is held now.
    held: SmallVec<[(Revision, Instant); 4]>,
    known: Revision,
    accepted: Revision,
    /// Commits by this VM whose outcome is unknown.
    unresolved: SmallVec<[Revision; 2]>,
    /// When this process sent its first request; older evidence may predate the process.
    first_request_at: Option<Instant>,
    /// Every change accepted before this moment is at or below `known`.
    confirmed_at: Option<Instant>,
    attests: bool,
}

impl FreshnessTracker {
    /// Creates the tracker of a process that has just started and holds no revision.
    ///
    /// `bound` is the greatest age of evidence at which the VM is current. `roster` may be outdated, but must be one
    /// that the settings had at some revision.
    pub fn new(own_name: VmName, incarnation: Incarnation, bound: Duration, roster: Roster) -> Self {
        Self {
            own_name,
            incarnation,
            bound,
            members: MemberIndex::new(&roster, MemberIndex::default()),
            known: roster.revision(),
            roster,
            held: SmallVec::new(),
            accepted: Revision::ZERO,
            unresolved: SmallVec::new(),
            first_request_at: None,
            confirmed_at: None,
            attests: false,
        }
    }

    /// Name of this VM.
    pub fn own_name(&self) -> &VmName {
        &self.own_name
    }

    /// The newest roster this VM holds; its previous roster is dropped once the change between them is accepted.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Greatest age of evidence at which the VM is current.
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Changes the bound, after a settings change of `bound_ms`.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Revision held.
    pub fn held(&self) -> Revision {
        self.held.last().map_or(Revision::ZERO, |&(revision, _)| revision)
    }

    /// Highest revision that is or may be committed, as far as this VM knows.
    pub fn highest_known(&self) -> Revision {
        self.unresolved.iter().copied().fold(self.known, Revision::max)
    }

    /// Highest revision that is committed, as far as this VM knows.
    pub fn highest_committed(&self) -> Revision {
        self.known
    }

    /// Whether the newest known revision is known to be accepted.
    pub fn is_newest_accepted(&self) -> bool {
        self.known <= self.accepted
    }

    /// Whether this VM attests to the revisions it knows, so that other VMs may count it towards a majority.
    pub fn attests(&self) -> bool {
        self.attests
    }

    /// Processes a read of the head row. `requested_at` is the time of its first attempt if the client retried it.
    pub fn on_head_read(&mut self, requested_at: Instant, revision: Revision) {
        self.record_request_time(requested_at);
        self.known = self.known.max(revision);
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        self.update_attesting();
    }

    /// Processes the response to a request that was sent at `requested_at` and answered by `now`.
    ///
    /// A report from an earlier incarnation of a member's process is ignored. The age of an unsolicited message is
    /// unknown; use [`on_committed`](Self::on_committed) for it.
    pub fn on_report(&mut self, requested_at: Instant, now: Instant, report: &Report) {
        let requested_at = requested_at.min(now);
        self.record_request_time(requested_at);
        let member = self.members.index_of(&report.vm);
        if let Some(member) = member.map(|index| &mut self.members.states[index]) {
            if report.incarnation < member.incarnation {
                return;
            }
            if report.incarnation > member.incarnation {
                member.incarnation = report.incarnation;
                member.attestation = None;
            }
        }
        self.known = self
            .known
            .max(report.known)
            .max(report.holding.held)
            .max(report.accepted);
        self.accepted = self.accepted.max(report.accepted);
        if let Some(at) = instant_before(requested_at, report.confirmed_ms) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        if let (Some(member), Some(at)) = (member, instant_before(requested_at, report.vouched_ms)) {
            self.record_attestation(member, Attestation::from_held_revisions(at, now, &report.holding));
        }
        for summary in &report.sums {
            self.record_summary(requested_at, now, summary);
        }
        self.update_confirmation(now);
    }

    /// Records that `revision` is committed, from a source without an age: a pushed change or the VM's own commit.
    pub fn on_committed(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// Records that this VM holds `revision` from `now` on. Ignores a revision older than the one held.
    ///
    /// `roster` is the roster as of `revision`, or `None` when it has not changed since the revision held before.
    pub fn on_apply(&mut self, now: Instant, revision: Revision, roster: Option<Roster>) {
        if revision < self.held() {
            return;
        }
        if revision > self.held() || self.held.is_empty() {
            self.held.push((revision, now));
            let steady = self.held.iter().rposition(|&(_, since)| since + STEADY_DURATION <= now);
            self.held.drain(..steady.unwrap_or(0));
        }
        self.known = self.known.max(revision);
        self.unresolved.retain(|unresolved| *unresolved > revision);
        if let Some(roster) = roster.filter(|roster| roster.revision() > self.roster.revision()) {
            self.roster = roster;
            self.members = MemberIndex::new(&self.roster, std::mem::take(&mut self.members));
        }
        self.update_confirmation(now);
    }

    /// Records that this VM sent a commit that would create `revision` and does not know its outcome.
    ///
    /// Until the outcome is resolved, or the VM holds `revision`, the VM is [`FreshnessStatus::Behind`]. Reports to
    /// peers leave it out: a commit that did not take effect would make every peer wait for a revision that does not
    /// exist.
    pub fn on_commit_unknown(&mut self, revision: Revision) {
        if revision > self.held() {
            self.unresolved.push(revision);
        }
    }

    /// Records the outcome of a commit passed to [`on_commit_unknown`](Self::on_commit_unknown).
    ///
    /// `committed` may be false only when the write can no longer take effect, as after a conflict. A table that does
    /// not know the write id yet does not rule out that the write still takes effect.
    pub fn on_commit_resolved(&mut self, revision: Revision, committed: bool) {
        if let Some(index) = self.unresolved.iter().position(|unresolved| *unresolved == revision) {
            self.unresolved.swap_remove(index);
        }
        if committed {
            self.on_committed(revision);
        }
    }

    /// Builds the report of this VM at `now`, with the summaries of every failure domain.
    pub fn report(&self, now: Instant) -> Report {
        self.report_for(now, ReportScope::All)
    }

    /// Builds the report of this VM at `now`, with the attestation summaries that `scope` selects.
    pub fn report_for(&self, now: Instant, scope: ReportScope) -> Report {
        let own_domain = self.roster.domain_of(&self.own_name);
        let domains = self.members.domains[..self.members.current_domain_count]
            .iter()
            .filter(|domain| match scope {
                ReportScope::Own => false,
                ReportScope::Domain => Some(&domain.name) == own_domain,
                ReportScope::All => true,
            });
        Report {
            vm: self.own_name.clone(),
            incarnation: self.incarnation,
            known: self.known,
            accepted: self.accepted,
            holding: self.own_held_revisions(now),
            vouched_ms: self.attests.then_some(0),
            confirmed_ms: self.confirmation_time(now).map(|at| age_ms(at, now)),
            sums: domains
                .filter_map(|domain| self.attestation_summary(now, domain))
                .collect(),
        }
    }

    /// Freshness of this VM at `now`, which the caller must have just read from the clock.
    pub fn status(&self, now: Instant) -> FreshnessStatus {
        let (known, held) = (self.highest_known(), self.held());
        if held < known || self.held.is_empty() {
            return FreshnessStatus::Behind { known, held };
        }
        let age = self
            .confirmation_time(now)
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age <= self.bound {
            FreshnessStatus::Current { age }
        } else {
            FreshnessStatus::Unconfirmed { age }
        }
    }

    /// The moment until which the VM stays current without further evidence, for a
    /// [`FreshnessGate`](crate::FreshnessGate).
    pub fn current_until(&self, now: Instant) -> Option<Instant> {
        self.status(now)
            .is_current()
            .then(|| self.confirmation_time(now).map(|at| at + self.bound))
            .flatten()
    }

    /// Acceptance of `revision`, as far as this VM knew at the last event.
    pub fn acceptance(&self, revision: Revision) -> Acceptance {
        if revision <= self.accepted {
            return Acceptance::Accepted;
        }
        let holds = |vm: &VmName, received: Option<Attestation>| {
            if *vm == self.own_name {
                self.held() >= revision
            } else {
                received.is_some_and(|attestation| attestation.held >= revision)
            }
        };
        let members = self.members.states.iter().filter(|member| member.in_roster);
        Acceptance::Pending {
            missing: members
                .filter(|member| !holds(&member.vm, member.attestation))
                .map(|member| member.vm.clone())
                .collect(),
        }
    }

    fn record_request_time(&mut self, requested_at: Instant) {
        self.first_request_at = Some(
            self.first_request_at
                .map_or(requested_at, |first| first.min(requested_at)),
        );
    }

    fn record_attestation(&mut self, member: usize, attestation: Attestation) {
        let member = &mut self.members.states[member];
        if member.vm != self.own_name && member.attestation.is_none_or(|received| received.at < attestation.at) {
            member.attestation = Some(attestation);
        }
    }

    fn record_summary(&mut self, requested_at: Instant, now: Instant, summary: &AttestationSummary) {
        let Some(domain) = self.members.domain_with_tag(summary.tag) else {
            return;
        };
        let mut received: SmallVec<[(usize, Attestation); 64]> = SmallVec::new();
        let mut highest = Revision::ZERO;
        for group in &summary.groups {
            highest = highest.max(group.holding.held);
            let Some(at) = instant_before(requested_at, Some(group.age_ms)) else {
                continue;
            };
            let attestation = Attestation::from_held_revisions(at, now, &group.holding);
            let indices = group
                .members
                .iter()
                .filter_map(|position| domain.member_indices.get(position));
            received.extend(indices.map(|&member| (member as usize, attestation)));
        }
        self.known = self.known.max(highest);
        for (member, attestation) in received {
            self.record_attestation(member, attestation);
        }
    }

    /// Updates the confirmation time, whether this VM attests, and the accepted revision after an event.
    fn update_confirmation(&mut self, now: Instant) {
        // A VM that is behind may have missed a roster change, so a majority of its roster proves nothing.
        if self.held() >= self.known && !self.held.is_empty() {
            let own = self.members.index_of(&self.own_name).filter(|_| self.attests);
            self.confirmed_at = self.confirmed_at.max(self.members.majority_attested_at(own, now));
        }
        self.update_attesting();
        self.update_acceptance(now);
    }

    fn update_attesting(&mut self) {
        let since_start = self
            .first_request_at
            .is_some_and(|first| self.confirmed_at >= Some(first));
        self.attests |= since_start && self.held() >= self.known && !self.held.is_empty();
    }

    fn update_acceptance(&mut self, now: Instant) {
        let (held, own) = (self.held(), self.members.index_of(&self.own_name));
        if held > self.accepted {
            let own_held_revisions = self.own_held_revisions(now);
            let majority_held = self.members.majority_revision(|index, member| {
                if Some(index) == own {
                    Some(held)
                } else {
                    member.attestation.map(|attestation| attestation.held)
                }
            });
            let majority_steady = self.members.majority_revision(|index, member| {
                if Some(index) == own {
                    Some(own_held_revisions.steady)
                } else {
                    member.attestation.map(|attestation| attestation.steady)
                }
            });
            for revision in [majority_held, majority_steady].into_iter().flatten() {
                // A VM that does not hold the revision may not hold the roster that has to accept it.
                let revision = revision.min(held);
                if revision > self.accepted && self.held_concurrently(now, revision, own) {
                    self.accepted = revision;
                }
            }
        }
        if self.roster.previous().is_some() && self.accepted >= self.roster.revision() {
            self.roster.clear_previous();
            self.members = MemberIndex::new(&self.roster, std::mem::take(&mut self.members));
        }
    }

    fn held_concurrently(&self, now: Instant, revision: Revision, own: Option<usize>) -> bool {
        let own_since = self
            .held
            .iter()
            .find(|&&(held, _)| held >= revision)
            .map(|&(_, since)| since);
        self.members.has_majority_overlap(|index, member| {
            if Some(index) == own {
                own_since.map(|since| (since, now))
            } else {
                member.attestation?.held_interval(revision)
            }
        })
    }

    /// The latest moment before which every accepted change is at or below `known`.
    fn confirmation_time(&self, now: Instant) -> Option<Instant> {
        // A roster of one is its own majority at any time.
        let is_sole_member = self.attests
            && self.held() >= self.known
            && self.roster.members().len() == 1
            && self.roster.domain_of(&self.own_name).is_some();
        if is_sole_member { Some(now) } else { self.confirmed_at }
    }

    fn own_held_revisions(&self, now: Instant) -> HeldRevisions {
        let since = self.held.last().map_or(now, |&(_, since)| since);
        let steady = self
            .held
            .iter()
            .rev()
            .find(|&&(_, since)| since + STEADY_DURATION <= now);
        HeldRevisions {
            held: self.held(),
            held_ms: held_ms(since, now),
            steady: steady.map_or(Revision::ZERO, |&(revision, _)| revision),
        }
    }

    fn attestation_summary(&self, now: Instant, domain: &DomainMembers) -> Option<AttestationSummary> {
        let class_length = (self.bound / AGE_CLASSES).max(Duration::from_millis(1));
        let mut groups: BTreeMap<(Revision, Revision, u128), SummaryGroup> = BTreeMap::new();
        for (position, &member) in domain.member_indices.iter().enumerate() {
            let member = &self.members.states[member as usize];
            let (age, holding) = if member.vm == self.own_name {
                if !self.attests {
                    continue;
                }
                (0, self.own_held_revisions(now))
            } else {
                let Some(received) = member.attestation else { continue };
                // `held_from` may be later than `at` when the revision was applied while the request was in flight; the
                // interval then starts at the attestation and confirms nothing.
                let held_ms = held_ms(received.held_from, now);
                (
                    age_ms(received.at, now),
                    HeldRevisions {
                        held: received.held,
                        held_ms,
                        steady: received.steady,
                    },
                )
            };
            if Duration::from_millis(age.into()) > self.bound {
                continue;
            }
            let class = u128::from(age) / class_length.as_millis().max(1);
            let group = groups
                .entry((holding.held, holding.steady, class))
                .or_insert_with(|| SummaryGroup {
                    members: BitSet::default(),
                    age_ms: age,
                    holding,
                });
            group.members.insert(position);
            group.age_ms = group.age_ms.max(age);
            group.holding.held_ms = group.holding.held_ms.min(holding.held_ms);
        }
        (!groups.is_empty()).then(|| AttestationSummary {
            tag: domain.tag,
            groups: groups.into_values().collect(),
        })
    }
}

/// Time from `at` to `now`, in milliseconds, rounded up; a nonzero age gets one more millisecond for clock drift.
fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    if age.is_zero() {
        0
    } else {
        u32::try_from(age.as_nanos().div_ceil(1_000_000) + 1).unwrap_or(u32::MAX)
    }
}

/// Time from `since` to `now`, in milliseconds, rounded down and at most [`MAX_HELD_DURATION`].
fn held_ms(since: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(since).min(MAX_HELD_DURATION).as_millis() as u32
}

/// The moment `age_ms` before `requested_at`.
fn instant_before(requested_at: Instant, age_ms: Option<u32>) -> Option<Instant> {
    requested_at.checked_sub(Duration::from_millis(age_ms?.into()))
}
