use std::fmt;

use mh_types::Code;
use serde::Serialize;

/// An error in a document, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    code: Code,
    place: String,
    detail: String,
}

impl Problem {
    /// Creates an error at `place`, which is a settings path, a field, or a file position.
    pub fn new(code: Code, place: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            code,
            place: place.into(),
            detail: detail.into(),
        }
    }

    /// The numbered result code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Location of the error: a settings path, a field or a file position.
    pub fn place(&self) -> &str {
        &self.place
    }

    /// Human-readable description of the error.
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MH{} at {}: {}", self.code.number(), self.place, self.detail)
    }
}

impl std::error::Error for Problem {}

impl Serialize for Problem {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        let mut out = serializer.serialize_struct("Problem", 3)?;
        out.serialize_field("code", &self.code.number())?;
        out.serialize_field("place", &self.place)?;
        out.serialize_field("detail", &self.detail)?;
        out.end()
    }
}

/// All errors found by one check; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// The code of the first error.
    pub fn code(&self) -> Code {
        self.0.first().map_or(Code::Internal, Problem::code)
    }

    /// The errors, in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    /// Returns `Ok` when `found` is empty.
    ///
    /// # Errors
    ///
    /// The errors in `found`.
    pub fn check(found: Vec<Problem>) -> Result<(), Self> {
        if found.is_empty() { Ok(()) } else { Err(Self(found)) }
    }
}

impl From<Problem> for Problems {
    fn from(problem: Problem) -> Self {
        Self(vec![problem])
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
