//! Servers of an object by the stable assignment.

use smallvec::SmallVec;

use super::{Candidate, MAX_SERVERS_PER_OBJECT, ObjectPool, Server, allows};
use crate::clock::Micros;
use crate::objects::ObjectRequest;

impl ObjectPool {
    /// Servers that the request may be sent to by the stable assignment. `None` for requests without an object, packed
    /// requests, and if too few usable servers are near the front of the object's order; all servers are then compared.
    pub(super) fn assigned_candidates(
        &self,
        request: &ObjectRequest<'_>,
        at: Micros,
    ) -> Option<SmallVec<[Candidate; 16]>> {
        let assignment = self.assignment.as_ref()?;
        let object = request.object.filter(|_| !request.pack)?;
        assignment.note(object);
        let may_use = |index: usize| allows(&self.servers[index], request);
        let is_open = |index: usize, is_first: bool| {
            let Server {
                spec,
                stats,
                kept_percent,
                ..
            } = &self.servers[index];
            // A server that is being drained gets no objects as their second choice.
            (is_first || *kept_percent >= 100)
                && !request.exclude.contains(&spec.name)
                && stats.accepts_requests(at)
                && stats.cold_limiter.allows_request(at)
                && stats.full_for(at) == 0
        };
        let (first, open) = assignment
            .table()
            .choices(object, MAX_SERVERS_PER_OBJECT, may_use, is_open);
        let first = first?;
        let candidates: SmallVec<[Candidate; 16]> = open
            .into_iter()
            .enumerate()
            .map(|(position, index)| Candidate {
                index,
                weight: u64::MAX >> position,
                is_first: index == first,
            })
            .collect();
        (candidates.len() == MAX_SERVERS_PER_OBJECT).then_some(candidates)
    }
}
