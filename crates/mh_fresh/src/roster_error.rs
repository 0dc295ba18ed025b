use std::fmt;

use mh_types::{Revision, VmName};

/// Reason for which a roster change was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// The previous roster change is not known to be held by a majority of each roster.
    PreviousNotAccepted {
        /// Revision of the previous roster change.
        revision: Revision,
    },
    /// The VM is already a member.
    AlreadyMember(VmName),
    /// The VM is not a member.
    NotMember(VmName),
    /// The change would leave the roster empty.
    LastMember(VmName),
    /// The revision of the change is not above the roster's own.
    RevisionNotNewer {
        /// Revision of the roster.
        roster: Revision,
        /// Revision given for the change.
        change: Revision,
    },
}

impl fmt::Display for RosterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PreviousNotAccepted { revision } => {
                write!(
                    f,
                    "the roster change of revision {revision} is not accepted yet; try again later"
                )
            }
            Self::AlreadyMember(vm) => write!(f, "VM {vm} is already a member of the roster"),
            Self::NotMember(vm) => write!(f, "VM {vm} is not a member of the roster"),
            Self::LastMember(vm) => write!(f, "VM {vm} is the last member of the roster and cannot be removed"),
            Self::RevisionNotNewer { roster, change } => {
                write!(
                    f,
                    "revision {change} of the change is not above revision {roster} of the roster"
                )
            }
        }
    }
}

impl std::error::Error for RosterError {}
