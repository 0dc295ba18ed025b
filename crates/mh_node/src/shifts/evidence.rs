use mh_peer::Part;
use mh_shift::Evidence;
use mh_types::{Event, Revision, ShiftName, VmName, emit};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Shifts;

/// Kind of the message part that contains the shift evidence.
const EVIDENCE_PART: u16 = 7;

#[derive(Debug, Serialize, Deserialize)]
struct ShiftEvidence {
    name: ShiftName,
    created: Revision,
    evidence: Evidence,
}

impl Shifts {
    /// Returns this VM's evidence for a peer; `None` if there are no shifts.
    pub(crate) fn evidence_part(&self) -> Option<Part> {
        let mut active = self.active.lock();
        let evidence_list = active.iter_mut().map(|((name, created), active)| ShiftEvidence {
            name: name.clone(),
            created: *created,
            evidence: active.shift.evidence(),
        });
        let evidence_list: Vec<ShiftEvidence> = evidence_list.collect();
        (!evidence_list.is_empty()).then(|| Part {
            kind: EVIDENCE_PART,
            body: postcard::to_stdvec(&evidence_list).unwrap_or_default().into(),
        })
    }

    /// Merges a peer's evidence.
    ///
    /// `requested_at` is `None` for a message that this VM did not request, whose age is unknown.
    pub(crate) fn merge_evidence(&self, from: &VmName, parts: &[Part], requested_at: Option<Instant>) {
        let Some(part) = parts.iter().find(|part| part.kind == EVIDENCE_PART) else {
            return;
        };
        let evidence_list = match postcard::from_bytes::<Vec<ShiftEvidence>>(&part.body) {
            Ok(evidence_list) => evidence_list,
            Err(e) => {
                emit!(Event::PeerMessageInvalid, vm = from, error = e);
                return;
            }
        };
        let now = Instant::now();
        let mut active = self.active.lock();
        for shift_evidence in evidence_list {
            if let Some(active) = active.get_mut(&(shift_evidence.name, shift_evidence.created)) {
                active.shift.merge(
                    now,
                    requested_at.unwrap_or(self.started),
                    from,
                    &shift_evidence.evidence,
                );
            }
        }
    }
}
