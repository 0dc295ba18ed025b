use std::time::Duration;

use mh_types::VmName;

use crate::Ask;

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent now.
    Admitted,
    /// The server's limit is used up for this time.
    Full(Duration),
    /// The VM that admits requests for the server must be asked.
    Ask(VmName, Ask),
}
