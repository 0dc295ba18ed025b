use std::hash::Hasher;

use mh_types::ServerName;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use super::cell_order::{CELLS, CellOrder, mix};

/// Maximum fraction of occupied cells. A new server displaces another one's slot from a cell with about half of this
/// probability, which moves objects that need not move.
const MAX_OCCUPIED_DIVISOR: u64 = 4;

/// Maximum number of cells that one search visits. A search that needs more concerns servers with a tiny share.
const MAX_VISITED_CELLS: u32 = 1 << 14;

/// Value of a cell that no server occupies.
const EMPTY: u16 = u16::MAX;

/// One server as the assignment sees it.
#[derive(Clone, Copy, Debug)]
pub struct AssignedServer<'a> {
    /// Name, which determines the cells.
    pub name: &'a ServerName,
    /// Number of slots, to which the share is proportional. Zero for servers that get no objects.
    pub slots: u32,
    /// Part of that share that this VM's objects use as their first choice, from 0 to 1; see
    /// [`quantised`](super::quantised).
    pub factor: f64,
}

/// A cell with the index of the server that occupies it.
#[derive(Clone, Copy, Debug)]
struct Occupied {
    cell: u32,
    server: u16,
}

/// Order of the servers for each object, as a function of the server list.
#[derive(Debug)]
pub struct StableAssignment {
    /// Server by cell.
    owners: Box<[u16]>,
    /// Occupied cells.
    occupied: Vec<Occupied>,
    /// Occupied cells of servers with a positive factor.
    first_choices: Vec<Occupied>,
    /// Factors of the servers, in 2^-16.
    factors: Vec<u32>,
}

impl StableAssignment {
    /// Assigns cells to `servers`; choices are indices into it. Servers beyond 65,534 get no objects.
    ///
    /// The result does not depend on the order of the list.
    pub fn new(servers: &[AssignedServer<'_>]) -> Self {
        let servers = &servers[..servers.len().min(usize::from(EMPTY))];
        let all_slots: u64 = servers.iter().map(|server| u64::from(server.slots)).sum();
        let shift = scale_shift(all_slots);
        let mut units: Vec<(u64, u16)> = Vec::new();
        for (index, server) in servers.iter().enumerate().filter(|(_, server)| server.slots > 0) {
            let seed = name_hash(server.name);
            let count = ((u64::from(server.slots) + (1 << shift >> 1)) >> shift).clamp(1, u64::from(CELLS));
            units.extend((0..count).map(|unit| (mix(seed ^ mix(unit)), index as u16)));
        }
        // Of two servers with the same cell, the one with the smaller hash gets it, whichever was listed first.
        units.sort_unstable_by_key(|(hash, index)| (*hash, servers[usize::from(*index)].name));
        // Keeps a cell free at all times, so that the search for one ends.
        units.truncate(CELLS as usize / 2);
        let mut owners = vec![EMPTY; CELLS as usize].into_boxed_slice();
        let occupied: Vec<Occupied> = units
            .into_iter()
            .map(|(hash, server)| {
                let mut probe = hash;
                while owners[(probe % u64::from(CELLS)) as usize] != EMPTY {
                    probe = mix(probe.wrapping_add(hash | 1));
                }
                let cell = (probe % u64::from(CELLS)) as u32;
                owners[cell as usize] = server;
                Occupied { cell, server }
            })
            .collect();
        let factors: Vec<u32> = servers
            .iter()
            .map(|server| (server.factor.clamp(0.0, 1.0) * 65_536.0).round() as u32)
            .collect();
        let has_factor = |occupied: &&Occupied| factors[usize::from(occupied.server)] > 0;
        Self {
            first_choices: occupied.iter().filter(has_factor).copied().collect(),
            owners,
            occupied,
            factors,
        }
    }

    /// First choice of `object` among the servers that are `allowed`; `None` if the search finds none.
    pub fn first(&self, object: u64, allowed: impl Fn(usize) -> bool) -> Option<usize> {
        let order = CellOrder::new(object);
        let accepts = |cell: u32, server: u16| {
            order.accepts(cell, self.factors[usize::from(server)]) && allowed(usize::from(server))
        };
        self.next(&self.first_choices, order, 0, accepts)
            .map(|(_, server)| usize::from(server))
    }

    /// The first `count` servers of the order of `object` that are `allowed`, without regard to factors. The list is
    /// shorter if the search finds fewer.
    pub fn servers(&self, object: u64, count: usize, allowed: impl Fn(usize) -> bool) -> SmallVec<[usize; 4]> {
        let order = CellOrder::new(object);
        let mut out: SmallVec<[usize; 4]> = SmallVec::new();
        let mut from = 0;
        while out.len() < count {
            let is_new = |_: u32, server: u16| {
                let server = usize::from(server);
                !out.contains(&server) && allowed(server)
            };
            let Some((rank, server)) = self.next(&self.occupied, order, from, is_new) else {
                break;
            };
            out.push(usize::from(server));
            from = rank + 1;
        }
        out
    }

    /// First choice of `object` among the servers that are `allowed`, and up to `count` allowed servers that are also
    /// `usable` at present: the first choice, then the others in the object's order. The second argument of `usable`
    /// says whether the server is the first choice.
    ///
    /// It gives the same servers as [`first`](Self::first) and [`servers`](Self::servers) with about half of the work.
    pub fn choices(
        &self,
        object: u64,
        count: usize,
        allowed: impl Fn(usize) -> bool,
        usable: impl Fn(usize, bool) -> bool,
    ) -> (Option<usize>, SmallVec<[usize; 4]>) {
        let order = CellOrder::new(object);
        if is_scan_shorter(self.occupied.len()) || is_scan_shorter(self.first_choices.len()) {
            let first = self.first(object, &allowed);
            let wanted = first.filter(|first| usable(*first, true));
            let others = count - usize::from(wanted.is_some()).min(count);
            let is_other = |server: usize| Some(server) != first && allowed(server) && usable(server, false);
            let others = self.servers(object, others, is_other);
            return (first, wanted.into_iter().chain(others).collect());
        }
        let mut first = None;
        let mut found: SmallVec<[usize; 4]> = SmallVec::new();
        for cell in (0..MAX_VISITED_CELLS).map(|rank| order.cell(rank)) {
            let owner = self.owners[cell as usize];
            let server = usize::from(owner);
            if owner == EMPTY || !allowed(server) {
                continue;
            }
            if first.is_none() && order.accepts(cell, self.factors[server]) {
                first = Some(server);
                // The first choice goes to the front, wherever its other cells are in the order.
                found.retain(|other| *other != server);
                if usable(server, true) {
                    found.insert(0, server);
                }
            } else if Some(server) != first && !found.contains(&server) && usable(server, false) {
                found.push(server);
            }
            if first.is_some() && found.len() >= count {
                break;
            }
        }
        found.truncate(count);
        (first, found)
    }

    /// The server of the first of `cells` at rank `from` or later that is accepted, with its rank.
    fn next(
        &self,
        cells: &[Occupied],
        order: CellOrder,
        from: u32,
        accepts: impl Fn(u32, u16) -> bool,
    ) -> Option<(u32, u16)> {
        if is_scan_shorter(cells.len()) {
            let ranked = cells.iter().map(|occupied| (order.rank(occupied.cell), *occupied));
            let mut best: Option<(u32, u16)> = None;
            for (rank, Occupied { cell, server }) in ranked {
                if rank >= from && best.is_none_or(|(best, _)| rank < best) && accepts(cell, server) {
                    best = Some((rank, server));
                }
            }
            return best;
        }
        let ranks = from..CELLS.min(from.saturating_add(MAX_VISITED_CELLS));
        ranks.map(|rank| (rank, order.cell(rank))).find_map(|(rank, cell)| {
            let server = self.owners[cell as usize];
            (server != EMPTY && accepts(cell, server)).then_some((rank, server))
        })
    }
}

/// Whether comparing the ranks of `cells` cells takes fewer steps than following the order, which takes
/// `CELLS / cells` on average.
const fn is_scan_shorter(cells: usize) -> bool {
    cells * cells <= CELLS as usize
}

/// Binary logarithm of the number of slots that share a cell, so that no more than the maximum of cells is occupied.
fn scale_shift(all_slots: u64) -> u32 {
    let room = u64::from(CELLS) / MAX_OCCUPIED_DIVISOR;
    all_slots.div_ceil(room).max(1).next_power_of_two().trailing_zeros()
}

fn name_hash(name: &ServerName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}
