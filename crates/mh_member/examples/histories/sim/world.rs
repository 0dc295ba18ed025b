use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use mh_member::{Config, VmList, VmListEntry};
use mh_types::{DomainName, Incarnation, RegionName, VmName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::Protocol;

/// Time between two ticks of a VM.
pub const TICK: Duration = Duration::from_millis(100);

/// Number of ticks between two reads of the VM list.
const LIST_POLL_TICKS: u64 = 10;

/// Simulated VM.
#[derive(Clone, Debug)]
pub struct SimVm {
    pub vm: VmName,
    pub domain: DomainName,
    pub region: RegionName,
    pub up: bool,
    pub paused: bool,
    /// Time at which the VM last started, stopped, was paused or resumed.
    pub changed_at: Instant,
    pub added_at: Instant,
    pub incarnation: u64,
}

impl SimVm {
    pub fn list_entry(&self) -> VmListEntry {
        VmListEntry {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            addr: None,
            leaving: false,
        }
    }
}

/// Traffic of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub msgs: u64,
    pub bytes: u64,
}

/// Simulated VMs, the network between them and the platform's VM list.
pub struct Simulation<P: Protocol> {
    pub now: Instant,
    pub started: Instant,
    pub rng: StdRng,
    pub cfg: Config,
    pub vms: Vec<SimVm>,
    pub peers: Vec<Option<P>>,
    index_by_vm: HashMap<VmName, usize>,
    queue: BTreeMap<(Instant, u64), (usize, usize, P::Msg)>,
    /// Messages that wait for each paused VM.
    paused_inboxes: Vec<Vec<(usize, P::Msg)>>,
    msgs_queued: u64,
    ticks: u64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_ms: u64,
    /// Pairs of sender and receiver whose messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Side of each VM while the network is partitioned.
    pub partition: Option<Vec<bool>>,
    pub list_available: bool,
    pub list_lag: Duration,
    /// VMs that are missing from the list by mistake.
    pub list_omitted: BTreeSet<usize>,
    /// Entries of the list whose VMs do not exist.
    pub list_phantoms: Vec<VmListEntry>,
    pub traffic: Vec<Traffic>,
    /// Highest traffic of one VM in one second: messages and bytes.
    pub peak: Traffic,
    pub largest_msg: usize,
    current_second: Vec<Traffic>,
}

impl<P: Protocol> Simulation<P> {
    /// Starts `count` VMs in `domains` failure domains, each with a list of all VMs.
    pub fn new(seed: u64, count: usize, domains: usize, cfg: Config) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            started: now,
            rng: StdRng::seed_from_u64(seed),
            cfg,
            vms: vec![],
            peers: vec![],
            index_by_vm: HashMap::new(),
            queue: BTreeMap::new(),
            paused_inboxes: vec![],
            msgs_queued: 0,
            ticks: 0,
            loss: 0.0,
            duplication: 0.0,
            max_delay_ms: 14,
            blocked_links: BTreeSet::new(),
            partition: None,
            list_available: true,
            list_lag: Duration::from_secs(10),
            list_omitted: BTreeSet::new(),
            list_phantoms: vec![],
            traffic: vec![],
            peak: Traffic::default(),
            largest_msg: 0,
            current_second: vec![],
        };
        for index in 0..count {
            sim.add_vm(index % domains);
        }
        let list = sim.current_list();
        for peer in sim.peers.iter_mut().flatten() {
            peer.list(now, &list);
        }
        sim
    }

    /// Starts a new VM that knows no other VM, and returns its index.
    pub fn add_vm(&mut self, domain: usize) -> usize {
        let index = self.vms.len();
        let sim_vm = SimVm {
            vm: VmName::from(format!("dom{domain:02}-vm{index:04}")),
            domain: DomainName::from(format!("region{:02}-dom{domain:02}", domain / 3)),
            region: RegionName::from(format!("region{:02}", domain / 3)),
            up: true,
            paused: false,
            changed_at: self.now,
            added_at: self.now,
            incarnation: 1_700_000_000_000_000,
        };
        self.index_by_vm.insert(sim_vm.vm.clone(), index);
        self.peers.push(Some(P::start(
            &sim_vm,
            Incarnation(sim_vm.incarnation),
            self.now,
            &self.cfg,
        )));
        self.vms.push(sim_vm);
        self.paused_inboxes.push(vec![]);
        self.traffic.push(Traffic::default());
        self.current_second.push(Traffic::default());
        index
    }

    pub fn kill(&mut self, index: usize) {
        let sim_vm = &mut self.vms[index];
        (sim_vm.up, sim_vm.paused, sim_vm.changed_at) = (false, false, self.now);
        self.peers[index] = None;
        self.paused_inboxes[index].clear();
    }

    pub fn restart(&mut self, index: usize) {
        let sim_vm = &mut self.vms[index];
        sim_vm.incarnation += 1_000_000;
        (sim_vm.up, sim_vm.paused, sim_vm.changed_at) = (true, false, self.now);
        self.paused_inboxes[index].clear();
        self.peers[index] = Some(P::start(sim_vm, Incarnation(sim_vm.incarnation), self.now, &self.cfg));
    }

    /// Pauses or resumes a VM. Messages to a paused VM are delivered when it resumes.
    pub fn pause(&mut self, index: usize, paused: bool) {
        self.vms[index].paused = paused && self.vms[index].up;
        self.vms[index].changed_at = self.now;
        if !paused && self.vms[index].up {
            for (from, msg) in std::mem::take(&mut self.paused_inboxes[index]) {
                self.deliver(from, index, msg);
            }
        }
    }

    /// Drops the messages that wait for a paused VM.
    pub fn drop_paused_inbox(&mut self, index: usize) {
        self.paused_inboxes[index].clear();
    }

    pub fn link_is_open(&self, from: usize, to: usize) -> bool {
        !self.blocked_links.contains(&(from, to))
            && self
                .partition
                .as_ref()
                .is_none_or(|partition| partition[from] == partition[to])
    }

    pub fn peer(&self, index: usize) -> Option<&P> {
        self.peers[index].as_ref()
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.vms[index].up && !self.vms[index].paused
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 < end) {
            self.now = self.now.max(entry.key().0);
            let (from, to, msg) = entry.remove();
            self.deliver(from, to, msg);
        }
        self.now = end;
        self.ticks += 1;
        let list = (self.ticks.is_multiple_of(LIST_POLL_TICKS) && self.list_available).then(|| self.current_list());
        for index in 0..self.peers.len() {
            if !self.is_running(index) {
                continue;
            }
            let rnd = self.rng.random();
            let Some(peer) = &mut self.peers[index] else { continue };
            if let Some(list) = &list {
                peer.list(end, list);
            }
            let out = peer.tick(end, rnd);
            self.send(index, out);
        }
        if self.ticks.is_multiple_of(10) {
            for current_second in &mut self.current_second {
                self.peak.msgs = self.peak.msgs.max(current_second.msgs);
                self.peak.bytes = self.peak.bytes.max(current_second.bytes);
                *current_second = Traffic::default();
            }
        }
    }

    /// Returns the platform's VM list, on which starts and stops appear after `list_lag`.
    pub fn current_list(&self) -> VmList {
        let is_visible = |sim_vm: &SimVm| {
            // A restart is shorter than the lag, so it does not appear on the list.
            let since = if sim_vm.up { sim_vm.added_at } else { sim_vm.changed_at };
            sim_vm.up == (self.now - since >= self.list_lag || since == self.started)
        };
        let vms = self.vms.iter().enumerate();
        let vms = vms.filter(|(index, sim_vm)| is_visible(sim_vm) && !self.list_omitted.contains(index));
        VmList {
            vms: vms
                .map(|(_, sim_vm)| sim_vm.list_entry())
                .chain(self.list_phantoms.clone())
                .collect(),
        }
    }

    fn deliver(&mut self, from: usize, to: usize, msg: P::Msg) {
        if !self.vms[to].up {
            return;
        }
        if self.vms[to].paused {
            self.paused_inboxes[to].push((from, msg));
            return;
        }
        let vm = self.vms[from].vm.clone();
        let now = self.now;
        let Some(peer) = &mut self.peers[to] else { return };
        let out = peer.receive(now, &vm, msg);
        self.send(to, out);
    }

    fn send(&mut self, from: usize, out: Vec<(VmName, P::Msg)>) {
        let mut buf = [0; 4096];
        for (to, msg) in out {
            let bytes = postcard::to_slice(&msg, &mut buf).map_or(usize::MAX, |used| used.len());
            self.largest_msg = self.largest_msg.max(bytes);
            for traffic in [&mut self.traffic[from], &mut self.current_second[from]] {
                traffic.msgs += 1;
                traffic.bytes += bytes as u64;
            }
            let Some(&to) = self.index_by_vm.get(&to) else { continue };
            if !self.link_is_open(from, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = Duration::from_millis(self.rng.random_range(1..=self.max_delay_ms));
                self.msgs_queued += 1;
                self.queue
                    .insert((self.now + delay, self.msgs_queued), (from, to, msg.clone()));
            }
        }
    }
}
