use std::borrow::Borrow;
use std::fmt;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName(String);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: use 1 to {MAX_NAME_BYTES} bytes without white space, control characters or a leading '/'",
            self.0
        )
    }
}

impl std::error::Error for InvalidName {}

fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('/')
        && !text.chars().any(|c| c.is_whitespace() || c.is_control())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// Parses and validates a name.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] when the text is empty, longer than 128 bytes, starts with `/`, or contains white
            /// space or control characters.
            pub fn parse(text: &str) -> Result<Self, InvalidName> {
                is_valid(text).then(|| Self(text.into())).ok_or_else(|| InvalidName(text.to_owned()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(self.0.as_str(), f)
            }
        }
    )*};
}

names! {
    /// Name of an entry VM.
    VmName;
    /// Name of a failure domain.
    DomainName;
    /// Name of a region, which holds one or more failure domains.
    RegionName;
    /// Name of an organisation, qualified by its team: `team/organisation`.
    OrgName;
    /// Name of a team, the owner of one settings subtree.
    TeamName;
    /// Name of a service, qualified by its team: `team/service`.
    ServiceName;
    /// Name of a route, qualified by its team: `team/route`.
    RouteName;
    /// Name of a backend server, unique within its service.
    ServerName;
    /// Name of a backend version.
    VersionName;
    /// Name of a version shift, qualified by its team: `team/shift`.
    ShiftName;
}
