use std::fmt;

use mh_types::Code;

/// Error of parsing an operation id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InvalidOpId {
    /// The text is empty, longer than 255 bytes as a caller-supplied id, or contains bytes outside visible ASCII.
    LengthOrCharacters,
    /// The text has the marker of system-issued ids but is not a valid one, for example because it was mistyped.
    MalformedIssuedId,
    /// A caller-supplied id came without an organisation, so ids of different callers could collide.
    NoOrganisation,
}

impl InvalidOpId {
    /// Result code to send to the caller; the request was not run.
    pub fn code(self) -> Code {
        Code::OperationIdInvalid
    }
}

impl fmt::Display for InvalidOpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LengthOrCharacters => "an operation id has 1 to 255 visible ASCII characters without space",
            Self::MalformedIssuedId => "the operation id looks like one handed out by mangohook but is damaged",
            Self::NoOrganisation => "without a caller key, only operation ids handed out by mangohook are accepted",
        })
    }
}

impl std::error::Error for InvalidOpId {}
