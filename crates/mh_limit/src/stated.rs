use crate::{InvalidLimit, ServerLimit};

/// What an answer of a server says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated {
    /// The answer states this limit.
    Limit(ServerLimit),
    /// The answer states no limit.
    Nothing,
    /// The answer states a limit that cannot be used; a limit that the server stated before stays in force.
    Invalid(InvalidLimit),
    /// The answer cannot end a limit, because not every answer of its kind repeats it.
    Unknown,
}

impl Stated {
    /// Parses the values of the limit header; the lowest valid one counts.
    pub fn from_values<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let parsed = values
            .into_iter()
            .map(|value| value.map_or(Err(InvalidLimit::NotANumber), ServerLimit::parse));
        parsed.fold(Self::Nothing, |stated, next| match (stated, next) {
            (Self::Limit(held), Ok(limit)) if held <= limit => stated,
            (_, Ok(limit)) => Self::Limit(limit),
            (Self::Nothing, Err(e)) => Self::Invalid(e),
            (_, Err(_)) => stated,
        })
    }
}
