use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mh_types::ServerName;

use super::assignment::{AssignedServer, MoveCounts, StableAssignment, moved_fraction, quantised};

/// Objects that the state dump shows; enough to find an example of each kind of fault.
const SHOWN_OBJECTS: usize = 16;

/// One server with its share, from which the assignment is computed.
pub(super) struct Share<'a> {
    pub(super) name: &'a ServerName,
    /// Slots, or zero if the server takes no new requests.
    pub(super) slots: u32,
    /// Relative weight of one slot in the first choice of this VM's objects.
    pub(super) slot_weight: f64,
    /// Part of its objects that the server keeps while it is drained, from 0 to 1.
    pub(super) kept: f64,
}

/// One server of the list that the table was computed from.
#[derive(Debug, PartialEq)]
struct Input {
    name: ServerName,
    slots: u32,
    factor: f64,
}

/// The stable assignment of a pool, with what is kept when the server list changes.
#[derive(Debug)]
pub(super) struct PoolAssignment {
    table: Arc<StableAssignment>,
    /// What the table was computed from.
    inputs: Vec<Input>,
    counts: Arc<MoveCounts>,
    /// Recently requested objects.
    recent: Arc<[AtomicU64; SHOWN_OBJECTS]>,
}

impl PoolAssignment {
    pub(super) fn new(servers: &[Share<'_>], previous: Option<&Self>) -> Self {
        let accepting = servers.iter().enumerate().filter(|(_, server)| server.slots > 0);
        let weights: BTreeMap<usize, f64> = accepting.map(|(index, server)| (index, server.slot_weight)).collect();
        let factors = quantised(&weights);
        let factor = |index: usize| factors.get(&index).copied().unwrap_or_default();
        let assigned: Vec<AssignedServer<'_>> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| AssignedServer {
                name: server.name,
                slots: server.slots,
                factor: factor(index) * server.kept,
            })
            .collect();
        let inputs: Vec<Input> = assigned
            .iter()
            .map(|server| Input {
                name: server.name.clone(),
                slots: server.slots,
                factor: server.factor,
            })
            .collect();
        // Changes of the VM list rebuild the pool too and leave the servers as they are.
        let same = previous.filter(|previous| previous.inputs == inputs);
        let out = Self {
            table: same.map_or_else(
                || Arc::new(StableAssignment::new(&assigned)),
                |previous| Arc::clone(&previous.table),
            ),
            inputs,
            counts: previous
                .map(|previous| Arc::clone(&previous.counts))
                .unwrap_or_default(),
            recent: previous.map_or_else(
                || Arc::new([const { AtomicU64::new(0) }; SHOWN_OBJECTS]),
                |previous| Arc::clone(&previous.recent),
            ),
        };
        if same.is_some() {
            return out;
        }
        if let Some(previous) = previous {
            out.count_moves(previous);
        }
        out
    }

    pub(super) fn table(&self) -> &StableAssignment {
        &self.table
    }

    pub(super) fn counts(&self) -> &MoveCounts {
        &self.counts
    }

    /// Keeps `object` for the state dump.
    pub(super) fn note(&self, object: u64) {
        self.recent[(object % SHOWN_OBJECTS as u64) as usize].store(object, Ordering::Relaxed);
    }

    /// Recently requested objects.
    pub(super) fn recent(&self) -> impl Iterator<Item = u64> {
        let objects = self.recent.iter().map(|object| object.load(Ordering::Relaxed));
        objects.filter(|object| *object != 0)
    }

    fn count_moves(&self, previous: &Self) {
        let (before, after) = (previous.shares(), self.shares());
        // The first servers of a service move no object from another server.
        if before == after || before.is_empty() {
            return;
        }
        let gains = after.iter().map(|(name, share)| {
            let before = before.get(name).copied().unwrap_or_default();
            (share - before).max(0.0)
        });
        let minimum = gains.sum();
        let moved = moved_fraction(|object| previous.first_name(object), |object| self.first_name(object));
        self.counts.record(moved, minimum);
    }

    /// Fractions of the objects that the servers are to have; servers without objects are left out.
    fn shares(&self) -> BTreeMap<&ServerName, f64> {
        let part = |input: &Input| f64::from(input.slots) * input.factor;
        let all: f64 = self.inputs.iter().map(part).sum();
        let with_part = self.inputs.iter().filter(|input| part(input) > 0.0);
        with_part.map(|input| (&input.name, part(input) / all)).collect()
    }

    fn first_name(&self, object: u64) -> Option<&ServerName> {
        let index = self.table.first(object, |_| true)?;
        self.inputs.get(index).map(|input| &input.name)
    }
}
