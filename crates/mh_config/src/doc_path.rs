use std::fmt;

use arcstr::ArcStr;
use mh_types::{Code, TeamName};
use serde::{Deserialize, Serialize};

use crate::{Problem, Problems};

/// Longest accepted path segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 63;

/// Type of a settings document, given by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocKind {
    /// A service and its backend servers.
    Service,
    /// A route from callers to a service.
    Route,
    /// An organisation and its rate limit.
    Organisation,
    /// A caller key, as a hash.
    Key,
    /// A version shift.
    Shift,
    /// A planned drain.
    Drain,
    /// The failure domains and their regions.
    Topology,
    /// The VMs whose reports decide whether settings are current.
    Roster,
}

impl DocKind {
    const TEAM_KINDS: [(&'static str, Self); 6] = [
        ("services", Self::Service),
        ("routes", Self::Route),
        ("organisations", Self::Organisation),
        ("keys", Self::Key),
        ("shifts", Self::Shift),
        ("drains", Self::Drain),
    ];

    /// The path segment of this kind.
    pub fn segment(self) -> &'static str {
        match self {
            Self::Topology => "topology",
            Self::Roster => "roster",
            kind => Self::TEAM_KINDS
                .iter()
                .find(|(_, k)| *k == kind)
                .map_or("", |(segment, _)| segment),
        }
    }
}

/// A validated settings path: `/teams/TEAM/KIND/NAME`, `/system/topology` or `/system/roster`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct DocPath {
    text: ArcStr,
    kind: DocKind,
}

impl DocPath {
    /// Parses a path.
    ///
    /// # Errors
    ///
    /// [`Code::PathInvalid`] when the text is not one of the known forms, or a segment is empty, longer than 63 bytes,
    /// or has characters other than `a-z`, `0-9`, `-`, `_`, `.` and lower-case letters outside ASCII.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let invalid = |detail: &str| Problems::from(Problem::new(Code::PathInvalid, text, detail));
        let mut parts = text
            .strip_prefix('/')
            .ok_or_else(|| invalid("a path starts with '/'"))?
            .split('/');
        let segments = [parts.next(), parts.next(), parts.next(), parts.next()];
        if parts.next().is_some() {
            return Err(invalid("too many segments"));
        }
        let kind = match segments {
            [Some("system"), Some("topology"), None, None] => DocKind::Topology,
            [Some("system"), Some("roster"), None, None] => DocKind::Roster,
            [Some("teams"), Some(team), Some(kind), Some(name)] => {
                if !is_valid_segment(team) || !is_valid_segment(name) {
                    return Err(invalid(
                        "a name has 1 to 63 bytes of lower-case letters, digits, '-', '_' or '.'",
                    ));
                }
                DocKind::TEAM_KINDS
                    .iter()
                    .find(|(segment, _)| *segment == kind)
                    .map(|(_, kind)| *kind)
                    .ok_or_else(|| invalid("the third segment is not a kind of document"))?
            }
            _ => {
                return Err(invalid(
                    "expected /teams/TEAM/KIND/NAME, /system/topology or /system/roster",
                ));
            }
        };
        Ok(Self {
            text: text.into(),
            kind,
        })
    }

    /// The path of a team's document.
    ///
    /// # Errors
    ///
    /// The errors of [`DocPath::parse`].
    pub fn team_doc(team: &str, kind: DocKind, name: &str) -> Result<Self, Problems> {
        Self::parse(&format!("/teams/{team}/{}/{name}", kind.segment()))
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The kind of the document at this path.
    pub fn kind(&self) -> DocKind {
        self.kind
    }

    /// The team that owns the path; `None` below `/system`.
    pub fn team(&self) -> Option<TeamName> {
        self.text
            .strip_prefix("/teams/")
            .and_then(|rest| rest.split('/').next())
            .map(TeamName::from)
    }

    /// The last segment of the path.
    pub fn name(&self) -> &str {
        self.text.rsplit('/').next().unwrap_or_default()
    }

    /// The document's name qualified by its team: `team/name`; the bare name below `/system`.
    pub fn qualified(&self) -> String {
        match self.team() {
            Some(team) => format!("{team}/{}", self.name()),
            None => self.name().to_owned(),
        }
    }
}

fn is_valid_segment(text: &str) -> bool {
    let allowed = |c: char| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c) || (!c.is_ascii() && c.is_lowercase())
    };
    (1..=MAX_SEGMENT_BYTES).contains(&text.len()) && text.chars().all(allowed) && text != "." && text != ".."
}

impl TryFrom<String> for DocPath {
    type Error = Problems;

    fn try_from(text: String) -> Result<Self, Problems> {
        Self::parse(&text)
    }
}

impl From<DocPath> for String {
    fn from(path: DocPath) -> Self {
        path.text.to_string()
    }
}

impl fmt::Display for DocPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl fmt::Debug for DocPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
