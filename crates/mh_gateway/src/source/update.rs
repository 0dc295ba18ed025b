use std::sync::Arc;

use mh_poison::Fingerprint;
use mh_types::{DomainName, ServerName, ServiceName, VersionName, VmName};
use mh_usage::DutyRow;
use serde::{Deserialize, Serialize};

use super::{AnnouncedVm, RegisteredServer, ShiftOrder, ShiftRecord, StoredQuarantine};
use crate::Plan;

/// The current value of one subject.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// The operators' plan.
    Plan(Arc<Plan>),
    /// Whether a failure domain is drained.
    Drained(DomainName, bool),
    /// The order to shift a service; `None` if there is none any more.
    Order(ServiceName, Option<ShiftOrder>),
    /// A server's entry; `None` if it was removed or does not describe a usable server.
    Server(ServerName, Option<RegisteredServer>),
    /// The progress of a shift; `None` if the record was removed.
    Shift(ServiceName, Option<ShiftRecord>),
    /// A VM's entry; `None` if it was removed.
    Vm(VmName, Option<AnnouncedVm>),
    /// A request in quarantine; `None` if the quarantine was removed.
    Quarantine(Fingerprint, Option<StoredQuarantine>),
    /// Who reports usage; `None` if nobody does. Unknown to earlier versions.
    UsageDuty(Option<DutyRow>),
    /// Versions of a service that were rolled back or replaced, as the record of its shift names them. Unknown to earlier
    /// versions.
    RetiredVersions(ServiceName, Vec<VersionName>),
}

/// Key of an update; a later update of the same subject replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    Plan,
    Drained(DomainName),
    Order(ServiceName),
    Server(ServerName),
    Shift(ServiceName),
    Vm(VmName),
    Quarantine(Fingerprint),
    UsageDuty,
    RetiredVersions(ServiceName),
}

impl Update {
    pub(crate) fn subject(&self) -> Subject {
        match self {
            Self::Plan(_) => Subject::Plan,
            Self::Drained(domain, _) => Subject::Drained(domain.clone()),
            Self::Order(service, _) => Subject::Order(service.clone()),
            Self::Server(server, _) => Subject::Server(server.clone()),
            Self::Shift(service, _) => Subject::Shift(service.clone()),
            Self::Vm(vm, _) => Subject::Vm(vm.clone()),
            Self::Quarantine(fingerprint, _) => Subject::Quarantine(*fingerprint),
            Self::UsageDuty(_) => Subject::UsageDuty,
            Self::RetiredVersions(service, _) => Subject::RetiredVersions(service.clone()),
        }
    }
}
