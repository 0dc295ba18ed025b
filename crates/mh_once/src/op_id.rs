use std::fmt;

use mh_types::OrgName;

use crate::caller_id::CallerChosenId;
use crate::invalid_op_id::InvalidOpId;
use crate::issued_id::IssuedId;

/// Id of an operation that runs at most once; its kind determines how its owner is found.
///
/// ```
/// use mh_once::{InvalidOpId, OpId};
/// use mh_types::OrgName;
///
/// let org = OrgName::from("sales/acme");
/// let caller_id = OpId::parse("order-17", Some(&org))?;
/// assert!(matches!(caller_id, OpId::Caller(_)));
/// // A damaged system-issued id is refused and not taken for a caller-supplied one.
/// assert_eq!(OpId::parse("mh1.maine-a-1.5f.10.7.00000000.mh1", Some(&org)), Err(InvalidOpId::MalformedIssuedId));
/// # Ok::<(), InvalidOpId>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OpId {
    /// Issued by the system; contains its owner.
    Issued(IssuedId),
    /// Supplied by the caller; the claim row in the platform table names its owner.
    Caller(CallerChosenId),
}

impl OpId {
    /// Parses the value of an `Idempotency-Key` header, with or without double quotes around it.
    ///
    /// `org` is the organisation whose key came with the request; without it, only system-issued ids are accepted.
    ///
    /// # Errors
    ///
    /// [`InvalidOpId`], reported to the caller as [`Code::OperationIdInvalid`](mh_types::Code::OperationIdInvalid) and
    /// "not run".
    pub fn parse(text: &str, org: Option<&OrgName>) -> Result<Self, InvalidOpId> {
        let text = text
            .strip_prefix('"')
            .and_then(|text| text.strip_suffix('"'))
            .unwrap_or(text);
        if IssuedId::has_marker(text) {
            return IssuedId::parse(text).map(Self::Issued);
        }
        CallerChosenId::parse(org.ok_or(InvalidOpId::NoOrganisation)?, text).map(Self::Caller)
    }
}

impl fmt::Display for OpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Issued(id) => id.fmt(f),
            Self::Caller(id) => f.write_str(id.as_str()),
        }
    }
}
