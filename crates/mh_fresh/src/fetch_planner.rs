use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mh_types::{DomainName, Revision, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::backoff::Backoff;
use crate::split_mix64::SplitMix64;
use crate::{ChangeSource, FetchConfig, FetchRequest, FreshnessTracker, ReportScope};

/// Reachability of a peer and the revision that it last reported to hold.
#[derive(Clone, Debug, Default)]
struct Peer {
    failures: u32,
    retry_at: Option<Instant>,
    held: Revision,
}

/// Report intervals between two rounds of requests to the other failure domains, while nothing calls for an earlier
/// one.
///
/// While the table answers, these rounds serve only the acceptance of changes. A round starts immediately when a change
/// waits for acceptance or the table fails, so that evidence from the table is replaced before it expires.
const INTERVALS_PER_ROUND: u32 = 4;

/// Plans which peers to query and when to read the table, keeping reports recent with few table reads.
///
/// The first reachable member of each failure domain, by name, is the domain's *delegate*: it polls the head row and
/// requests the summaries of all domains from their aggregators. The second reachable member is the domain's
/// *aggregator*: it requests attestations from the members of its domain. Every other VM asks its delegate and one more
/// member. VMs that disagree about these roles only cause extra messages: a VM that is asked for its domain's summary
/// collects it, whichever VM it considers the aggregator.
///
/// `mh_member` chooses its delegates differently: by rendezvous hash.
///
/// A VM that is not a delegate reads the table only after it has not been current for longer than the bound.
#[derive(Clone, Debug)]
pub struct FetchPlanner {
    cfg: FetchConfig,
    peers: HashMap<VmName, Peer>,
    /// Members of each domain by name, as of `domains_revision`.
    domains: Vec<Vec<VmName>>,
    own_domain: Option<usize>,
    domains_revision: Option<Revision>,
    table_backoff: Backoff,
    /// Longest interval between two reads of the table in this VM's current role.
    table_backoff_cap: Duration,
    reports_due: Option<Instant>,
    /// Time of the last round of requests to the other failure domains.
    last_round_at: Option<Instant>,
    /// When a peer last requested this domain's summary.
    summary_requested_at: Option<Instant>,
    /// Whether an operator waits at this VM for a change to be accepted.
    awaiting_acceptance: bool,
    changes_due_at: Option<Instant>,
    not_current_since: Option<Instant>,
}

impl FetchPlanner {
    /// Creates the planner of a process that has just started.
    pub fn new(cfg: FetchConfig) -> Self {
        Self {
            cfg,
            peers: HashMap::new(),
            domains: Vec::new(),
            own_domain: None,
            domains_revision: None,
            table_backoff: Backoff::default(),
            table_backoff_cap: cfg.member_backoff_cap,
            reports_due: None,
            last_round_at: None,
            summary_requested_at: None,
            awaiting_acceptance: false,
            changes_due_at: None,
            not_current_since: None,
        }
    }

    /// Returns the requests to send at `now`. Call it every few tens of milliseconds, with a new random number each
    /// time.
    ///
    /// Every returned request counts as sent; report its response or failure with the `on_` methods.
    pub fn plan(&mut self, now: Instant, tracker: &FreshnessTracker, rnd: u64) -> SmallVec<[FetchRequest; 8]> {
        let mut rng = SplitMix64(rnd);
        let mut requests = SmallVec::new();
        self.update_domains(tracker);
        let is_delegate = self
            .own_domain
            .is_some_and(|domain| self.delegate(now, domain, tracker.own_name()).is_none());
        if tracker.status(now).is_current() {
            self.not_current_since = None;
        } else {
            self.not_current_since.get_or_insert(now);
        }
        let is_isolated = self
            .not_current_since
            .is_some_and(|since| now > since + tracker.bound());
        let uses_table = is_delegate || is_isolated;
        self.table_backoff_cap = if is_delegate {
            self.cfg.delegate_backoff_cap
        } else {
            self.cfg.member_backoff_cap
        };
        if uses_table && self.table_backoff.is_due(now, self.cfg.head_poll_interval, &mut rng) {
            requests.push(FetchRequest::Head);
            self.table_backoff
                .schedule_next(now, self.cfg.head_poll_interval, self.table_backoff_cap, &mut rng);
        }
        self.plan_changes(now, tracker, uses_table, &mut rng, &mut requests);
        if now
            >= *self
                .reports_due
                .get_or_insert_with(|| now + rng.duration_up_to(self.cfg.report_interval / 4))
        {
            self.reports_due = Some(now + self.cfg.report_interval);
            self.plan_reports(now, tracker, is_delegate, &mut rng, &mut requests);
        }
        requests
    }

    /// Records that a read of the head row or of log rows succeeded.
    pub fn on_table_read(&mut self) {
        self.table_backoff.record_success();
    }

    /// Records that a read of the table failed or timed out, and backs off.
    pub fn on_table_failure(&mut self, now: Instant, rnd: u64) {
        if !self.table_backoff.is_failing() {
            // Asks the other domains immediately, while the evidence from the table is still recent.
            self.reports_due = Some(now);
        }
        self.table_backoff.record_failure();
        self.table_backoff.schedule_next(
            now,
            self.cfg.head_poll_interval,
            self.table_backoff_cap,
            &mut SplitMix64(rnd),
        );
    }

    /// Records that a peer requested a report of `scope` from this VM.
    pub fn on_report_request(&mut self, now: Instant, scope: ReportScope) {
        if scope == ReportScope::Domain {
            self.summary_requested_at = Some(now);
        }
    }

    /// Records that `peer` responded and holds `held`.
    pub fn on_response(&mut self, peer: &VmName, held: Revision) {
        let state = self.peers.entry(peer.clone()).or_default();
        *state = Peer {
            failures: 0,
            retry_at: None,
            held,
        };
    }

    /// Records that `peer` did not respond to a request in time.
    pub fn on_no_response(&mut self, now: Instant, peer: &VmName) {
        let state = self.peers.entry(peer.clone()).or_default();
        state.failures += 1;
        if state.failures >= self.cfg.max_failures {
            state.retry_at = Some(now + self.cfg.retry_delay);
            state.held = Revision::ZERO;
        }
    }

    /// Records that a fetch of changes returned none, so that another source is tried immediately.
    pub fn on_no_changes(&mut self, from: &ChangeSource) {
        self.changes_due_at = None;
        if let ChangeSource::Peer(peer) = from {
            self.peers.entry(peer.clone()).or_default().held = Revision::ZERO;
        }
    }

    /// Sets whether an operator waits at this VM for a change to be accepted.
    ///
    /// The VM then requests every attestation summary from its delegate, so that
    /// [`Acceptance::Pending`](crate::Acceptance::Pending) names only the members that really lack the change, and not
    /// all those from which this VM receives no attestations.
    pub fn set_awaiting_acceptance(&mut self, awaiting_acceptance: bool) {
        self.awaiting_acceptance = awaiting_acceptance;
    }

    fn update_domains(&mut self, tracker: &FreshnessTracker) {
        let roster = tracker.roster();
        if self.domains_revision == Some(roster.revision()) {
            return;
        }
        let mut domains: BTreeMap<&DomainName, Vec<VmName>> = BTreeMap::new();
        for (vm, domain) in roster.members() {
            domains.entry(domain).or_default().push(vm.clone());
        }
        self.own_domain = roster
            .domain_of(tracker.own_name())
            .and_then(|own| domains.keys().position(|name| *name == own));
        self.domains = domains.into_values().collect();
        self.peers.retain(|vm, _| roster.domain_of(vm).is_some());
        self.domains_revision = Some(roster.revision());
    }

    /// Whether a request may be sent to the peer: it is reachable, or its retry delay has expired.
    fn may_be_asked(&self, now: Instant, vm: &VmName) -> bool {
        self.peers
            .get(vm)
            .and_then(|peer| peer.retry_at)
            .is_none_or(|at| now >= at)
    }

    /// Whether the peer has not been marked unreachable since its last response.
    fn is_reachable(&self, vm: &VmName) -> bool {
        self.peers.get(vm).is_none_or(|peer| peer.retry_at.is_none())
    }

    /// The delegate of a domain; `None` when it is this VM or no member may be asked.
    fn delegate(&self, now: Instant, domain: usize, own_name: &VmName) -> Option<&VmName> {
        let members = &self.domains[domain];
        let up = members.iter().find(|vm| *vm == own_name || self.is_reachable(vm));
        up.or_else(|| members.iter().find(|vm| self.may_be_asked(now, vm)))
            .filter(|vm| *vm != own_name)
    }

    /// The VM that aggregates a domain's attestations; `None` when it is this VM or no member may be asked.
    fn aggregator(&self, now: Instant, domain: usize, own_name: &VmName) -> Option<&VmName> {
        let second = self.domains[domain]
            .iter()
            .filter(|vm| *vm == own_name || self.is_reachable(vm))
            .nth(1);
        second.map_or_else(
            || self.delegate(now, domain, own_name),
            |vm| Some(vm).filter(|vm| *vm != own_name),
        )
    }

    /// Unreachable members that precede the domain's aggregator and are due for a retry.
    ///
    /// Without the retry, a VM that was unreachable once would never get its role back.
    fn retry_candidates(&self, now: Instant, domain: usize) -> impl Iterator<Item = &VmName> {
        let first = self.domains[domain].iter().take(2);
        first.filter(move |vm| !self.is_reachable(vm) && self.may_be_asked(now, vm))
    }

    fn plan_changes(
        &mut self,
        now: Instant,
        tracker: &FreshnessTracker,
        uses_table: bool,
        rng: &mut SplitMix64,
        requests: &mut SmallVec<[FetchRequest; 8]>,
    ) {
        let (held, known) = (tracker.held(), tracker.highest_known());
        if (held >= known && held > Revision::ZERO) || self.changes_due_at.is_some_and(|due| now < due) {
            return;
        }
        let ahead: Vec<(&VmName, Revision)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.held > held)
            .map(|(vm, peer)| (vm, peer.held))
            .collect();
        let newest = ahead.iter().map(|&(_, revision)| revision).max().unwrap_or_default();
        let mut best: Vec<&VmName> = ahead
            .iter()
            .filter(|(_, revision)| *revision == newest)
            .map(|&(vm, _)| vm)
            .collect();
        best.sort_unstable();
        let from = match rng.choose(&best) {
            Some(peer) => ChangeSource::Peer((*peer).clone()),
            None if uses_table && !self.table_backoff.is_failing() => ChangeSource::Table,
            None => return,
        };
        self.changes_due_at = Some(now + self.cfg.report_interval);
        requests.push(FetchRequest::Changes { from, since: held });
    }

    fn plan_reports(
        &mut self,
        now: Instant,
        tracker: &FreshnessTracker,
        is_delegate: bool,
        rng: &mut SplitMix64,
        requests: &mut SmallVec<[FetchRequest; 8]>,
    ) {
        let (own_name, own) = (tracker.own_name(), self.own_domain);
        let report_request = |peer: &VmName, scope| FetchRequest::Report {
            peer: peer.clone(),
            scope,
        };
        let is_stale = tracker
            .current_until(now)
            .is_none_or(|until| until < now + tracker.bound() / 2);
        let starts_round = is_stale
            || self.table_backoff.is_failing()
            || !tracker.is_newest_accepted()
            || self
                .last_round_at
                .is_none_or(|at| now >= at + self.cfg.report_interval * INTERVALS_PER_ROUND);
        let members = own.map_or(&[][..], |domain| &self.domains[domain]);
        let members: Vec<&VmName> = members
            .iter()
            .filter(|vm| *vm != own_name && self.may_be_asked(now, vm))
            .collect();
        let others = (0..self.domains.len()).filter(|domain| Some(*domain) != own);
        let delegates: Vec<&VmName> = others
            .filter_map(|domain| self.delegate(now, domain, own_name))
            .collect();

        let is_asked_to_aggregate = self.summary_requested_at.is_some_and(|at| now <= at + tracker.bound());
        if is_asked_to_aggregate || own.is_some_and(|domain| self.aggregator(now, domain, own_name).is_none()) {
            requests.extend(members.iter().map(|vm| report_request(vm, ReportScope::Own)));
        } else if !is_delegate {
            // Two peers, so that one dead or partitioned peer leaves no gap. A VM outside the roster asks any
            // delegates.
            let first = own.and_then(|domain| self.delegate(now, domain, own_name));
            let any = |rng: &mut SplitMix64| rng.choose(&delegates).copied();
            let scope = if self.awaiting_acceptance {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            requests.extend(first.or_else(|| any(rng)).map(|vm| report_request(vm, scope)));
            requests.extend(
                rng.choose(&members)
                    .copied()
                    .or_else(|| any(rng))
                    .map(|vm| report_request(vm, ReportScope::Own)),
            );
        }
        if is_delegate && starts_round {
            for domain in 0..self.domains.len() {
                requests.extend(
                    self.aggregator(now, domain, own_name)
                        .map(|vm| report_request(vm, ReportScope::Domain)),
                );
                requests.extend(
                    self.retry_candidates(now, domain)
                        .map(|vm| report_request(vm, ReportScope::Domain)),
                );
            }
        }
        // Stale evidence means that the regular path is broken: a link may be down, or a delegate may have failed.
        if is_stale {
            let scope = if is_delegate {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            requests.extend(rng.choose(&delegates).map(|vm| report_request(vm, scope)));
        }
        if is_delegate && starts_round {
            self.last_round_at = Some(now);
        }
    }
}
