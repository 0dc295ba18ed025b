mod drain;
mod key;
mod organisation;
mod roster;
mod route;
mod service;
mod shift;
mod topology;

use mh_types::Code;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use drain::Drain;
pub use key::Key;
pub use organisation::Organisation;
pub use roster::{Roster, RosterMember};
pub use route::{Access, Execution, Route};
pub use service::{Server, Service};
pub use shift::{Guard, Shift};
pub use topology::{DomainSpec, Topology};

use crate::{DocKind, DocPath, Problem, Problems};

/// A settings document of any kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Doc {
    /// A service and its backend servers.
    Service(Service),
    /// A route from callers to a service.
    Route(Route),
    /// An organisation and its rate limit.
    Organisation(Organisation),
    /// A caller key, as a hash.
    Key(Key),
    /// A version shift.
    Shift(Shift),
    /// A planned drain.
    Drain(Drain),
    /// The failure domains and their regions.
    Topology(Topology),
    /// The VMs whose reports decide whether settings are current.
    Roster(Roster),
}

impl Doc {
    /// Reads and checks the document for `path`.
    ///
    /// # Errors
    ///
    /// Every problem found in the document without reading others: [`Code::SyntaxInvalid`], [`Code::FieldUnknown`],
    /// [`Code::FieldMissing`], [`Code::FieldOutOfRange`] or [`Code::NameDuplicate`].
    pub fn from_json(path: &DocPath, json: &str) -> Result<Self, Problems> {
        let doc = match path.kind() {
            DocKind::Service => parse_json(path, json).map(Self::Service),
            DocKind::Route => parse_json(path, json).map(Self::Route),
            DocKind::Organisation => parse_json(path, json).map(Self::Organisation),
            DocKind::Key => parse_json(path, json).map(Self::Key),
            DocKind::Shift => parse_json(path, json).map(Self::Shift),
            DocKind::Drain => parse_json(path, json).map(Self::Drain),
            DocKind::Topology => parse_json(path, json).map(Self::Topology),
            DocKind::Roster => parse_json(path, json).map(Self::Roster),
        }?;
        let mut checker = Checker::new(path);
        match &doc {
            Self::Service(doc) => doc.check(&mut checker),
            Self::Route(doc) => doc.check(&mut checker),
            Self::Organisation(doc) => doc.check(&mut checker),
            Self::Key(_) => {}
            Self::Shift(doc) => doc.check(&mut checker),
            Self::Drain(doc) => doc.check(&mut checker),
            Self::Topology(doc) => doc.check(&mut checker),
            Self::Roster(doc) => doc.check(&mut checker),
        }
        checker.finish().map(|()| doc)
    }

    /// The document as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn parse_json<T: DeserializeOwned>(path: &DocPath, json: &str) -> Result<T, Problems> {
    // serde would accept an array as the values of the fields, in the order of their declaration.
    if json.trim_start().starts_with('[') {
        return Err(Problem::new(Code::FieldOutOfRange, path.as_str(), "the document is not an object").into());
    }
    serde_json::from_str(json).map_err(|e| {
        let text = e.to_string();
        let code = if text.starts_with("unknown field") {
            Code::FieldUnknown
        } else if text.starts_with("missing field") {
            Code::FieldMissing
        } else if text.starts_with("duplicate field") {
            Code::NameDuplicate
        } else if e.is_data() {
            Code::FieldOutOfRange
        } else {
            Code::SyntaxInvalid
        };
        Problem::new(code, path.as_str(), text).into()
    })
}

/// Collects the problems of one document.
struct Checker<'a> {
    path: &'a DocPath,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn new(path: &'a DocPath) -> Self {
        Self {
            path,
            problems: Vec::new(),
        }
    }

    fn finish(self) -> Result<(), Problems> {
        Problems::check(self.problems)
    }

    fn report(&mut self, code: Code, field: &str, detail: String) {
        self.problems
            .push(Problem::new(code, format!("{}: {field}", self.path), detail));
    }

    fn check_range<T: PartialOrd + Copy + std::fmt::Display>(&mut self, field: &str, value: T, low: T, high: T) {
        if !(value >= low && value <= high) {
            self.report(
                Code::FieldOutOfRange,
                field,
                format!("{value} is not within {low} to {high}"),
            );
        }
    }

    fn check_unique<'n>(&mut self, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = std::collections::BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                self.report(Code::NameDuplicate, field, format!("{name:?} is used twice"));
            }
        }
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if let Err(e) = mh_types::ServerName::parse(name) {
            self.report(Code::FieldOutOfRange, field, e.to_string());
        }
    }
}
