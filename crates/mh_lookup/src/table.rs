use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use mh_types::{OrgName, VmName};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::chunk::Prefix;
use crate::prefix_map::PrefixMap;
use crate::sites::{ServingVm, Sites};
use crate::vm::Vm;
use crate::window_counter::CurrentBucket;
use crate::{Block, Change, Choice, RankingId, SiteId, TableError, TableSpec, VmAvailability, VmSpec, key, rendezvous};

/// Maximum number of VMs in the result of a look-up.
const MAX_CHOICES: usize = 4;

/// Maximum number of VMs from one site while other sites have some, so that a result stays usable if a site fails.
const MAX_CHOICES_PER_SITE: usize = 2;

/// Fraction of the lifetime that is randomised, so that callers do not all repeat their look-ups at the same time.
const LIFETIME_SPREAD: f64 = 0.2;

/// Prefix length of the IPv4 networks whose callers all get the same order of VMs.
const V4_NETWORK_BITS: u8 = 24;

/// Prefix length of the IPv6 networks whose callers all get the same order of VMs.
const V6_NETWORK_BITS: u8 = 56;

type Homes = HashMap<OrgName, SmallVec<[VmName; 2]>, BuildHasherDefault<SipHasher13>>;
/// Indexes into the list of VMs, in order of preference.
type VmIndexes = SmallVec<[u16; MAX_CHOICES]>;

/// An immutable snapshot that maps callers to entry VMs.
///
/// Tables made by [`with_change`](Self::with_change) share unchanged parts and the counters of first choices.
#[derive(Clone, Debug)]
pub struct Table {
    lifetime: Duration,
    v4: Arc<PrefixMap<u32>>,
    v6: Arc<PrefixMap<u64>>,
    rankings: Arc<Vec<SmallVec<[SiteId; 8]>>>,
    vms: Arc<Vec<Vm>>,
    /// Index of each VM in `vms`, by name.
    vm_indexes: Arc<HashMap<VmName, u16, BuildHasherDefault<SipHasher13>>>,
    /// Serving VMs of each site.
    sites: Arc<Sites>,
    homes: Arc<Homes>,
    current_bucket: Arc<CurrentBucket>,
}

impl Table {
    /// Builds a table.
    ///
    /// # Errors
    ///
    /// [`TableError`] if a block refers to an unknown ranking, a home to an unknown VM, there is no ranking 0, or two
    /// VMs share a name.
    pub fn build(spec: TableSpec) -> Result<Self, TableError> {
        if spec.rankings.is_empty() {
            return Err(TableError::RankingUnknown(RankingId::DEFAULT));
        }
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for (block, ranking) in spec.blocks {
            if usize::from(ranking.0) >= spec.rankings.len() {
                return Err(TableError::RankingUnknown(ranking));
            }
            let (len, value) = (block.prefix_len(), ranking.0);
            match block.addr() {
                IpAddr::V4(addr) => v4.push(Prefix {
                    start: key::v4(addr),
                    len,
                    value,
                }),
                IpAddr::V6(addr) => v6.push(Prefix {
                    start: key::v6(addr),
                    len,
                    value,
                }),
            }
        }
        let mut table = Self {
            lifetime: spec.lifetime,
            v4: Arc::new(PrefixMap::build(v4)),
            v6: Arc::new(PrefixMap::build(v6)),
            rankings: Arc::new(spec.rankings.into_iter().map(SmallVec::from_vec).collect()),
            vms: Arc::default(),
            vm_indexes: Arc::default(),
            sites: Arc::default(),
            homes: Arc::default(),
            current_bucket: Arc::default(),
        };
        table.set_vms(spec.vms.into_iter().map(Vm::new).collect())?;
        for (org, vms) in spec.homes {
            table.set_home(org, vms)?;
        }
        Ok(table)
    }

    /// Returns the VMs that the caller at `addr` may use, in order of preference; at most four, and none if no VM
    /// serves.
    ///
    /// `org` is the caller's organisation, if known; `random` is a random number that spreads the lifetimes. The
    /// look-up counts as load of the first choice.
    pub fn find(&self, addr: IpAddr, org: Option<&OrgName>, random: u64) -> SmallVec<[Choice<'_>; 4]> {
        let (ranking, caller) = match addr.to_canonical() {
            IpAddr::V4(a) => (
                self.v4.find(key::v4(a)),
                caller_hash(4, u64::from(key::v4(a)), 32, V4_NETWORK_BITS),
            ),
            IpAddr::V6(a) => (
                self.v6.find(key::v6(a)),
                caller_hash(6, key::v6(a), 64, V6_NETWORK_BITS),
            ),
        };
        let found = self.choose(usize::from(ranking.unwrap_or(RankingId::DEFAULT.0)), caller, org);
        if let Some(first) = found.first() {
            self.vms[usize::from(*first)]
                .first_choices
                .add(self.current_bucket.get());
        }
        let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let lifetime = self.lifetime.mul_f64(1.0 - LIFETIME_SPREAD * fraction);
        let choice = |i: &u16| Choice {
            vm: &self.vms[usize::from(*i)].spec,
            lifetime,
        };
        found.iter().map(choice).collect()
    }

    fn choose(&self, ranking: usize, caller: u64, org: Option<&OrgName>) -> VmIndexes {
        let mut found = VmIndexes::new();
        // A budget that is too small to divide is kept by its home VMs, so they come first even without headroom.
        for name in org.and_then(|org| self.homes.get(org)).into_iter().flatten() {
            if let Some(i) = self
                .vm_indexes
                .get(name)
                .filter(|i| self.vms[usize::from(**i)].is_serving())
            {
                push_distinct(&mut found, *i);
            }
        }
        let default = usize::from(RankingId::DEFAULT.0);
        for (ranking, per_site, include_full) in [
            (ranking, MAX_CHOICES_PER_SITE, false),
            (default, MAX_CHOICES_PER_SITE, false),
            (ranking, MAX_CHOICES, false),
            (ranking, MAX_CHOICES, true),
            (default, MAX_CHOICES, true),
        ] {
            for site in self.rankings.get(ranking).into_iter().flatten() {
                if found.len() >= MAX_CHOICES {
                    return found;
                }
                self.add_from_site(&mut found, *site, caller, per_site, include_full);
            }
        }
        found
    }

    /// Adds the best VMs of a site, at most `per_site`; VMs without headroom only if `include_full`.
    fn add_from_site(&self, found: &mut VmIndexes, site: SiteId, caller: u64, per_site: usize, include_full: bool) {
        let candidates = self.sites.serving_vms(site);
        let mut scores: SmallVec<[(f64, &ServingVm); 8]> = SmallVec::new();
        for candidate in candidates {
            scores.push((
                rendezvous::score(caller, candidate.hash, candidate.inverse_weight),
                candidate,
            ));
        }
        // Only few VMs are taken, so repeated selection of the lowest score is faster than sorting, and only the
        // counters of these VMs are read.
        let mut taken = 0;
        while taken < per_site && !scores.is_empty() {
            let lowest = (1..scores.len()).fold(0, |low, i| if scores[i].0 < scores[low].0 { i } else { low });
            let (_, candidate) = scores.swap_remove(lowest);
            if include_full || self.has_headroom(candidate) {
                push_distinct(found, candidate.vm);
                taken += 1;
            }
        }
    }

    fn has_headroom(&self, candidate: &ServingVm) -> bool {
        candidate.headroom == u32::MAX || self.vms[usize::from(candidate.vm)].first_choices.total() < candidate.headroom
    }

    /// Returns a new table with `change` applied. This table is unchanged, and look-ups on it may continue.
    ///
    /// # Errors
    ///
    /// [`TableError`] if the change refers to an unknown VM or ranking.
    pub fn with_change(&self, change: &Change) -> Result<Self, TableError> {
        let mut table = self.clone();
        match change {
            Change::Block(block, ranking) => table.set_block(*block, *ranking)?,
            Change::Vm(spec) => {
                let mut vms = (*self.vms).clone();
                match self.vm_indexes.get(&spec.name) {
                    Some(i) => vms[usize::from(*i)].spec.clone_from(spec),
                    None => vms.push(Vm::new(spec.clone())),
                }
                table.set_vms(vms)?;
            }
            Change::RemoveVm(name) => {
                let i = self.vm_index(name)?;
                let mut vms = (*self.vms).clone();
                vms.remove(i);
                table.set_vms(vms)?;
            }
            Change::State(name, state) => table.update_vm(name, |spec| spec.state = *state)?,
            Change::Headroom(name, headroom) => table.update_vm(name, |spec| spec.headroom = *headroom)?,
            Change::Ranking(id, sites) => {
                let rankings = Arc::make_mut(&mut table.rankings);
                let (i, sites) = (usize::from(id.0), SmallVec::from_slice(sites));
                if i > rankings.len() {
                    return Err(TableError::RankingUnknown(*id));
                }
                if i == rankings.len() {
                    rankings.push(sites);
                } else {
                    rankings[i] = sites;
                }
            }
            Change::Home(org, vms) => table.set_home(org.clone(), vms.clone())?,
        }
        Ok(table)
    }

    /// Advances the window of the load counters by a quarter of the lifetime, which drops the oldest quarter.
    ///
    /// A single control loop must call it four times per lifetime.
    pub fn advance_window(&self) {
        let next = self.current_bucket.get().wrapping_add(1);
        self.vms.iter().for_each(|vm| vm.first_choices.expire_oldest(next));
        self.current_bucket.set(next);
    }

    /// Returns the number of look-ups within the last lifetime whose first choice was the VM; zero for an unknown VM.
    pub fn first_choice_count(&self, vm: &VmName) -> u32 {
        self.vm_index(vm).map_or(0, |i| self.vms[i].first_choices.total())
    }

    /// Returns the ranking of the smallest block that contains `addr`.
    pub fn ranking_of(&self, addr: IpAddr) -> Option<RankingId> {
        match addr.to_canonical() {
            IpAddr::V4(a) => self.v4.find(key::v4(a)),
            IpAddr::V6(a) => self.v6.find(key::v6(a)),
        }
        .map(RankingId)
    }

    /// Returns the number of blocks.
    pub fn block_count(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns the memory used by the blocks, in bytes, without allocator overhead.
    pub fn block_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }

    /// Returns the number of block chunks in this table and the number of them that are shared with `other`.
    pub fn shared_chunks(&self, other: &Self) -> (usize, usize) {
        let shared = self.v4.count_shared_chunks(&other.v4) + self.v6.count_shared_chunks(&other.v6);
        (self.v4.chunk_count() + self.v6.chunk_count(), shared)
    }

    fn vm_index(&self, name: &VmName) -> Result<usize, TableError> {
        self.vm_indexes
            .get(name)
            .map(|i| usize::from(*i))
            .ok_or_else(|| TableError::VmUnknown(name.clone()))
    }

    fn update_vm(&mut self, name: &VmName, update: impl FnOnce(&mut VmSpec)) -> Result<(), TableError> {
        let i = self.vm_index(name)?;
        let vms = Arc::make_mut(&mut self.vms);
        update(&mut vms[i].spec);
        self.sites = Arc::new(Sites::new(&self.vms));
        Ok(())
    }

    fn set_vms(&mut self, vms: Vec<Vm>) -> Result<(), TableError> {
        if vms.len() > usize::from(u16::MAX) {
            return Err(TableError::TooManyVms);
        }
        let mut names = HashMap::default();
        for (i, vm) in vms.iter().enumerate() {
            if names.insert(vm.spec.name.clone(), i as u16).is_some() {
                return Err(TableError::VmDuplicate(vm.spec.name.clone()));
            }
        }
        self.vms = Arc::new(vms);
        self.vm_indexes = Arc::new(names);
        self.sites = Arc::new(Sites::new(&self.vms));
        Ok(())
    }

    fn set_block(&mut self, block: Block, ranking: Option<RankingId>) -> Result<(), TableError> {
        if let Some(id) = ranking.filter(|id| usize::from(id.0) >= self.rankings.len()) {
            return Err(TableError::RankingUnknown(id));
        }
        let (len, value) = (block.prefix_len(), ranking.map(|id| id.0));
        match block.addr() {
            IpAddr::V4(addr) => self.v4 = Arc::new(self.v4.with_prefix(key::v4(addr), len, value)),
            IpAddr::V6(addr) => self.v6 = Arc::new(self.v6.with_prefix(key::v6(addr), len, value)),
        }
        Ok(())
    }

    fn set_home(&mut self, org: OrgName, vms: Vec<VmName>) -> Result<(), TableError> {
        for vm in &vms {
            self.vm_index(vm)?;
        }
        let homes = Arc::make_mut(&mut self.homes);
        if vms.is_empty() {
            homes.remove(&org);
        } else {
            homes.insert(org, SmallVec::from_vec(vms));
        }
        Ok(())
    }

    /// Returns the state of a VM; `None` for an unknown VM.
    pub fn state_of(&self, vm: &VmName) -> Option<VmAvailability> {
        self.vm_index(vm).ok().map(|i| self.vms[i].spec.state)
    }
}

/// Adds a VM unless it is present or the list is full.
fn push_distinct(found: &mut VmIndexes, vm: u16) {
    if found.len() < MAX_CHOICES && !found.contains(&vm) {
        found.push(vm);
    }
}

/// Hash of the caller's network.
fn caller_hash(family: u8, key: u64, key_bits: u8, network_bits: u8) -> u64 {
    let network = key >> (key_bits - network_bits);
    let mut bytes = [0; 9];
    bytes[0] = family;
    bytes[1..].copy_from_slice(&network.to_le_bytes());
    rendezvous::hash(&bytes)
}
