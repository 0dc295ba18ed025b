use std::process::ExitCode;

/// Exit code of the VM process and of the operators' tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The operation succeeded.
    Done = 0,
    /// The settings or the arguments are invalid.
    Usage = 2,
    /// A port could not be bound or the process could not start.
    StartFailed = 3,
    /// Shutdown ended while requests were still running.
    ShutdownIncomplete = 4,
    /// The system refused the operator's request.
    Refused = 5,
    /// The system could not be reached.
    Unreachable = 6,
    /// The change is committed, but a majority of the roster did not confirm it in time.
    NotInForce = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
