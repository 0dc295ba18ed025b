use std::fmt;

use mh_types::Code;

/// Error from decoding a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The first byte is the number of another format version.
    VersionUnknown(u8),
    /// The input is truncated, has trailing bytes, or contains a value out of range.
    Malformed,
}

impl ReportError {
    /// Returns the result code for the peer.
    pub fn code(&self) -> Code {
        match self {
            Self::VersionUnknown(_) => Code::PeerVersionUnknown,
            Self::Malformed => Code::PeerMessageInvalid,
        }
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionUnknown(version) => write!(f, "version {version} of the report format is not known"),
            Self::Malformed => f.write_str("the report is malformed"),
        }
    }
}

impl std::error::Error for ReportError {}
