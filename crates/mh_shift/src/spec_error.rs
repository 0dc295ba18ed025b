use std::fmt;

use mh_types::Code;

/// Reason for rejecting a shift specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SpecError {
    /// `from` and `to` name the same version.
    SameVersion,
    /// `cap` is zero.
    CapZero,
    /// `steps` is empty, starts at zero, or does not rise.
    StepsNotRising,
    /// `guard.max_latency_factor` is not a finite number over 1.
    LatencyFactor,
    /// `guard.max_error_excess` is zero.
    ErrorExcess,
}

impl SpecError {
    /// Result code that operators see.
    pub fn code(self) -> Code {
        Code::FieldOutOfRange
    }
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SameVersion => "from and to name the same version",
            Self::CapZero => "cap must be over 0",
            Self::StepsNotRising => "steps must be one or more rising fractions over 0",
            Self::LatencyFactor => "guard.max_latency_factor must be a number over 1",
            Self::ErrorExcess => "guard.max_error_excess must be over 0",
        })
    }
}

impl std::error::Error for SpecError {}
