use std::fmt;

use mh_types::{Code, VmName};

use crate::RankingId;

/// Error of building or changing a table; the previous table stays valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// There is no ranking with this number.
    RankingUnknown(RankingId),
    /// There is no VM with this name.
    VmUnknown(VmName),
    /// Two VMs have the same name.
    VmDuplicate(VmName),
    /// There are more than 65,535 VMs.
    TooManyVms,
}

impl TableError {
    /// Returns the result code that is shown to operators.
    pub fn code(&self) -> Code {
        match self {
            Self::RankingUnknown(_) | Self::VmUnknown(_) => Code::ReferenceMissing,
            Self::VmDuplicate(_) => Code::NameDuplicate,
            Self::TooManyVms => Code::FieldOutOfRange,
        }
    }
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.code())?;
        match self {
            Self::RankingUnknown(id) => write!(f, "ranking {}", id.0),
            Self::VmUnknown(name) | Self::VmDuplicate(name) => write!(f, "VM {name}"),
            Self::TooManyVms => f.write_str("more than 65535 VMs"),
        }
    }
}

impl std::error::Error for TableError {}
