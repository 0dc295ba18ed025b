use std::fmt;

use mh_node::Exit;

/// Error of a command.
#[derive(Clone, Debug)]
pub struct CtlError {
    /// Exit code of the process.
    pub exit: Exit,
    /// Human-readable description.
    pub message: String,
}

impl CtlError {
    /// Creates an error.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CtlError {}
