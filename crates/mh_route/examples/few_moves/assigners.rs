//! Ways to assign objects to servers.

use mh_route::objects::assignment::{AssignedServer, StableAssignment};
use mh_types::ServerName;

#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub id: u64,
    pub slots: u32,
}

pub trait Assigner {
    /// Ids of the first and the second choice.
    fn choose(&self, object: u64) -> [u64; 2];

    /// The table, for ways that start from the previous one.
    fn table(&self) -> Option<&[u64]> {
        None
    }
}

type Build = fn(&[Server], Option<&dyn Assigner>) -> Box<dyn Assigner>;

pub const ALL: [(&str, Build); 7] = [
    ("rendezvous, recomputed", |servers, _| {
        Box::new(Rendezvous::new(servers, true))
    }),
    ("rendezvous, fixed", |servers, _| {
        Box::new(Rendezvous::new(servers, false))
    }),
    ("ring", |servers, _| Box::new(Ring::new(servers, f64::MAX))),
    ("ring, bounded load 1.05", |servers, _| {
        Box::new(Ring::new(servers, 1.05))
    }),
    ("Maglev, rebuilt", |servers, _| Box::new(Maglev::new(servers, None))),
    ("Maglev, incremental", |servers, previous| {
        Box::new(Maglev::new(servers, previous.and_then(|previous| previous.table())))
    }),
    ("cells", |servers, _| Box::new(Cells::new(servers))),
];

pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighted rendezvous hashing. If recomputed, the first 30 servers are a region with a third of the callers, whose
/// servers weigh as `RegionDistribution::slot_weights` computes it from all slots.
struct Rendezvous(Vec<(u64, f64)>);

impl Rendezvous {
    fn new(servers: &[Server], recomputed: bool) -> Self {
        let slots = |is_local: bool| -> f64 {
            let servers = servers.iter().filter(|server| (server.id % 3000 < 30) == is_local);
            servers.map(|server| f64::from(server.slots)).sum()
        };
        let (local, others) = (slots(true), slots(false));
        let fraction = (local / (local + others) * 0.85 * 3.0).min(1.0);
        let weight = |server: &Server| match (recomputed, server.id % 3000 < 30) {
            (false, _) => 1.0,
            (true, true) => fraction / local,
            (true, false) => (1.0 - fraction) / others,
        };
        Self(
            servers
                .iter()
                .map(|server| (server.id, weight(server) * f64::from(server.slots)))
                .collect(),
        )
    }
}

impl Assigner for Rendezvous {
    fn choose(&self, object: u64) -> [u64; 2] {
        let mut best = [(f64::MIN, 0); 2];
        for (id, weight) in &self.0 {
            let uniform = ((mix(object ^ mix(*id)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            let score = -weight / uniform.ln();
            if score > best[0].0 {
                best = [(score, *id), best[0]];
            } else if score > best[1].0 {
                best[1] = (score, *id);
            }
        }
        best.map(|(_, id)| id)
    }
}

/// Number of parts of the key space for the ways that need a table.
const PARTS: usize = 65_537;

/// Table of the servers by part of the key space. The second choice is the server of a second part.
struct Table(Vec<u64>);

impl Table {
    fn choose(&self, object: u64) -> [u64; 2] {
        let first = self.0[(object % PARTS as u64) as usize];
        let probes = std::iter::successors(Some(mix(object)), |probe| Some(mix(*probe)));
        let mut others = probes.map(|probe| self.0[(probe % PARTS as u64) as usize]);
        [first, others.find(|other| *other != first).unwrap_or(first)]
    }
}

/// Consistent hashing with 20 points for each slot. With a bound, a server takes at most its share of the parts times
/// the bound, and further parts go to the next server on the ring.
struct Ring(Table);

impl Ring {
    fn new(servers: &[Server], bound: f64) -> Self {
        let all: f64 = servers.iter().map(|server| f64::from(server.slots)).sum();
        let room = |server: &Server| (bound * PARTS as f64 * f64::from(server.slots) / all).min(1e9).ceil() as u64;
        let mut rooms: Vec<u64> = servers.iter().map(room).collect();
        let points = servers.iter().enumerate();
        let mut points: Vec<(u64, usize)> = points
            .flat_map(|(index, server)| {
                (0..20 * u64::from(server.slots)).map(move |n| (mix(mix(server.id) ^ n), index))
            })
            .collect();
        points.sort_unstable();
        let mut table = vec![0; PARTS];
        for (part, owner) in table.iter_mut().enumerate() {
            let at = points.partition_point(|(point, _)| *point < mix(part as u64));
            let ring = points[at..].iter().chain(&points[..at]);
            let (_, index) = ring
                .into_iter()
                .find(|(_, index)| rooms[*index] > 0)
                .expect("room for all parts");
            rooms[*index] -= 1;
            *owner = servers[*index].id;
        }
        Self(Table(table))
    }
}

impl Assigner for Ring {
    fn choose(&self, object: u64) -> [u64; 2] {
        self.0.choose(object)
    }
}

/// Maglev: servers take turns in proportion to their slots, and each takes the next free part of its own order. From a
/// previous table, only the parts of removed servers and those beyond a server's share are free.
struct Maglev(Table);

impl Maglev {
    fn new(servers: &[Server], previous: Option<&[u64]>) -> Self {
        const FREE: u64 = u64::MAX;
        let all: f64 = servers.iter().map(|server| f64::from(server.slots)).sum();
        let share = |server: &Server| PARTS as f64 * f64::from(server.slots) / all;
        let mut rooms: std::collections::HashMap<u64, f64> =
            servers.iter().map(|server| (server.id, share(server).ceil())).collect();
        let mut table = vec![FREE; PARTS];
        for (owner, before) in table.iter_mut().zip(previous.unwrap_or_default()) {
            if let Some(room) = rooms.get_mut(before).filter(|room| **room >= 1.0) {
                *room -= 1.0;
                *owner = *before;
            }
        }
        let mut free = table.iter().filter(|owner| **owner == FREE).count();
        let steps = |server: &Server| {
            (
                mix(server.id) % PARTS as u64,
                mix(server.id ^ 1) % (PARTS as u64 - 1) + 1,
            )
        };
        let mut orders: Vec<(u64, u64)> = servers.iter().map(steps).collect();
        'turns: for turn in 0.. {
            for (server, (at, step)) in servers.iter().zip(&mut orders) {
                let is_due = turn % 2 == 0 || server.slots > 3;
                let room = rooms.get_mut(&server.id).expect("a listed server");
                if free == 0 {
                    break 'turns;
                }
                if !is_due || *room < 1.0 {
                    continue;
                }
                while table[*at as usize] != FREE {
                    *at = (*at + *step) % PARTS as u64;
                }
                table[*at as usize] = server.id;
                *room -= 1.0;
                free -= 1;
            }
        }
        Self(Table(table))
    }
}

impl Assigner for Maglev {
    fn choose(&self, object: u64) -> [u64; 2] {
        self.0.choose(object)
    }

    fn table(&self) -> Option<&[u64]> {
        Some(&self.0.0)
    }
}

/// The way that the product uses.
struct Cells {
    ids: Vec<u64>,
    assignment: StableAssignment,
}

impl Cells {
    fn new(servers: &[Server]) -> Self {
        let names: Vec<ServerName> = servers
            .iter()
            .map(|s| format!("server-{}", s.id).as_str().into())
            .collect();
        let assigned = names.iter().zip(servers).map(|(name, server)| AssignedServer {
            name,
            slots: server.slots,
            factor: 1.0,
        });
        Self {
            ids: servers.iter().map(|server| server.id).collect(),
            assignment: StableAssignment::new(&assigned.collect::<Vec<_>>()),
        }
    }
}

impl Assigner for Cells {
    fn choose(&self, object: u64) -> [u64; 2] {
        let servers = self.assignment.servers(object, 2, |_| true);
        [servers[0], servers[1]].map(|index| self.ids[index])
    }
}
