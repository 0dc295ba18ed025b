use mh_types::{Code, Incarnation, Run, VmName};

use crate::claim_row::ClaimRow;
use crate::decision::Decision;
use crate::op_id::OpId;

/// Determines the owner of an operation.
///
/// The incarnation is part of the owner: a restarted VM has lost the memory of its earlier incarnation and answers
/// "unknown" for it. When the owner of a forwarded operation cannot be reached, the sender refuses the operation with
/// [`Code::OwnerUnreachable`] and [`Run::Unknown`].
///
/// ```
/// use mh_once::{Decision, OpId, Router};
/// use mh_types::{Code, Incarnation, OrgName, Run, VmName};
///
/// let local_vm = VmName::from("maine-a-1");
/// let id = OpId::parse("order-17", Some(&OrgName::from("sales/acme")))?;
/// assert_eq!(Router::decide(&local_vm, Incarnation(5), &id), Decision::Claim);
/// # Ok::<(), mh_once::InvalidOpId>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Router;

impl Router {
    /// Routes a request received from a caller.
    pub fn decide(local_vm: &VmName, incarnation: Incarnation, id: &OpId) -> Decision {
        match id {
            OpId::Issued(id) => Self::route_to_owner(local_vm, incarnation, &id.vm, id.incarnation),
            OpId::Caller(_) => Decision::Claim,
        }
    }

    /// Routes a request with a caller-supplied id whose committed claim row is `row`.
    pub fn decide_claimed(local_vm: &VmName, incarnation: Incarnation, row: &ClaimRow) -> Decision {
        Self::route_to_owner(local_vm, incarnation, &row.vm, row.incarnation)
    }

    /// Routes a request forwarded by another VM, with the claim row if the id is caller-supplied.
    ///
    /// Returns only [`Decision::Local`] and [`Decision::Refuse`], so an operation is forwarded at most once.
    pub fn decide_forwarded(
        local_vm: &VmName,
        incarnation: Incarnation,
        id: &OpId,
        row: Option<&ClaimRow>,
    ) -> Decision {
        let decision = match (id, row) {
            (OpId::Issued(_), _) => Self::decide(local_vm, incarnation, id),
            (OpId::Caller(_), Some(row)) => Self::decide_claimed(local_vm, incarnation, row),
            (OpId::Caller(_), None) => OWNER_UNREACHABLE,
        };
        if decision == Decision::Local {
            Decision::Local
        } else {
            OWNER_UNREACHABLE
        }
    }

    fn route_to_owner(
        local_vm: &VmName,
        incarnation: Incarnation,
        owner_vm: &VmName,
        owner_incarnation: Incarnation,
    ) -> Decision {
        if local_vm != owner_vm {
            Decision::Forward(owner_vm.clone())
        } else if incarnation == owner_incarnation {
            Decision::Local
        } else {
            OWNER_UNREACHABLE
        }
    }
}

/// Refusal for an operation whose owner no longer exists.
const OWNER_UNREACHABLE: Decision = Decision::Refuse(Code::OwnerUnreachable, Run::Unknown);
