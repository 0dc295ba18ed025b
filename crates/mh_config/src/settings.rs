use std::collections::BTreeMap;
use std::sync::Arc;

use mh_types::{Code, Revision};

use crate::{Change, ChangeRow, Doc, DocKind, DocPath, Problem, Problems};

/// A document with the revisions that created and last changed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Revision that first created the document.
    pub created: Revision,
    /// Revision that last changed it.
    pub revision: Revision,
    /// The document.
    pub doc: Arc<Doc>,
}

/// Every document of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    revision: Revision,
    docs: BTreeMap<DocPath, Entry>,
}

impl Settings {
    /// Builds the settings of `revision` from table rows.
    ///
    /// # Errors
    ///
    /// The problems of every row that cannot be decoded. No settings are built in that case, so that the previous
    /// revision stays in force unchanged.
    pub fn from_rows<'r>(revision: Revision, rows: impl Iterator<Item = (&'r str, &'r str)>) -> Result<Self, Problems> {
        let mut docs = BTreeMap::new();
        let mut found = Vec::new();
        for (place, text) in rows {
            match ChangeRow::decode(place, text).and_then(|row| Ok((row.change()?, row))) {
                Ok((change, row)) => {
                    if let Some(doc) = change.doc() {
                        let entry = Entry {
                            created: row.created,
                            revision: row.revision,
                            doc: Arc::clone(doc),
                        };
                        docs.insert(change.path().clone(), entry);
                    }
                }
                Err(problems) => found.extend(problems.iter().cloned()),
            }
        }
        Problems::check(found).map(|()| Self { revision, docs })
    }

    /// The revision that these documents belong to.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document at `path`.
    pub fn get(&self, path: &DocPath) -> Option<&Entry> {
        self.docs.get(path)
    }

    /// The documents whose path starts with `prefix`, in path order.
    pub fn list<'s>(&'s self, prefix: &'s str) -> impl Iterator<Item = (&'s DocPath, &'s Entry)> {
        self.docs
            .iter()
            .filter(move |(path, _)| path.as_str().starts_with(prefix))
    }

    /// Every document in path order.
    pub fn iter(&self) -> impl Iterator<Item = (&DocPath, &Entry)> {
        self.docs.iter()
    }

    /// The settings of `revision`, which result from applying `change`.
    #[must_use]
    pub fn apply(&self, revision: Revision, change: &Change) -> Self {
        let created = self.get(change.path()).map_or(revision, |entry| entry.created);
        self.apply_with_created(revision, created, change)
    }

    /// Like [`Settings::apply`], with the creation revision taken from the change's row.
    #[must_use]
    pub fn apply_with_created(&self, revision: Revision, created: Revision, change: &Change) -> Self {
        let mut docs = self.docs.clone();
        match change.doc() {
            Some(doc) => {
                docs.insert(
                    change.path().clone(),
                    Entry {
                        created,
                        revision,
                        doc: Arc::clone(doc),
                    },
                );
            }
            None => {
                docs.remove(change.path());
            }
        }
        Self { revision, docs }
    }

    /// Checks `change` against the other documents.
    ///
    /// References are checked within one team only, so that a change to one team's subtree never conflicts with
    /// another team's.
    ///
    /// # Errors
    ///
    /// [`Code::ReferenceMissing`], [`Code::StillReferenced`], [`Code::MatchTaken`] or [`Code::PathNotFound`].
    pub fn check(&self, change: &Change) -> Result<(), Problems> {
        let mut found = Vec::new();
        match change.doc() {
            Some(doc) => self.check_references(change.path(), doc, &mut found),
            None => self.check_removal(change.path(), &mut found),
        }
        Problems::check(found)
    }

    /// The document of `kind` named `name` that belongs to the same team as `path`.
    fn same_team_doc(&self, path: &DocPath, kind: DocKind, name: &str) -> Option<&Entry> {
        let team = path.team()?;
        self.get(&DocPath::team_doc(team.as_str(), kind, name).ok()?)
    }

    fn check_references(&self, path: &DocPath, doc: &Doc, found: &mut Vec<Problem>) {
        let mut require = |kind: DocKind, name: &str| {
            if self.same_team_doc(path, kind, name).is_none() {
                let detail = format!("there is no {} {name:?} in the same team", kind.segment());
                found.push(Problem::new(Code::ReferenceMissing, path.as_str(), detail));
            }
        };
        for (kind, name) in references(doc) {
            require(kind, name);
        }
        match doc {
            Doc::Key(key) => {
                for (other_path, entry) in self.docs.iter().filter(|(p, _)| *p != path) {
                    if matches!(&*entry.doc, Doc::Key(other) if other.hash == key.hash) {
                        let detail = format!("{other_path} already has this key");
                        found.push(Problem::new(Code::MatchTaken, path.as_str(), detail));
                    }
                }
            }
            Doc::Drain(drain) => {
                let service = self
                    .same_team_doc(path, DocKind::Service, &drain.service)
                    .map(|entry| &*entry.doc);
                if let (Some(Doc::Service(service)), Some(server)) = (service, &drain.server)
                    && service.servers.iter().all(|other| other.name != *server)
                {
                    let detail = format!("the service {:?} has no server {server:?}", drain.service);
                    found.push(Problem::new(Code::ReferenceMissing, path.as_str(), detail));
                }
            }
            Doc::Route(route) => {
                for (other_path, entry) in self.docs.iter().filter(|(p, _)| *p != path) {
                    if let Doc::Route(other) = &*entry.doc
                        && other.path.trim_end_matches('/') == route.path.trim_end_matches('/')
                        && methods_overlap(&other.methods, &route.methods)
                    {
                        let detail = format!(
                            "{other_path} already matches {} {}",
                            other.methods.join(","),
                            other.path
                        );
                        found.push(Problem::new(Code::MatchTaken, path.as_str(), detail));
                    }
                }
            }
            Doc::Shift(shift) => {
                for (other_path, entry) in self.docs.iter().filter(|(p, _)| *p != path && p.team() == path.team()) {
                    if let Doc::Shift(other) = &*entry.doc
                        && other.service == shift.service
                        && !other.taken_back
                    {
                        let detail = format!("{other_path} already shifts the service {:?}", shift.service);
                        found.push(Problem::new(Code::MatchTaken, path.as_str(), detail));
                    }
                }
            }
            _ => {}
        }
    }

    fn check_removal(&self, path: &DocPath, found: &mut Vec<Problem>) {
        if self.get(path).is_none() {
            found.push(Problem::new(
                Code::PathNotFound,
                path.as_str(),
                "there is no document at this path",
            ));
            return;
        }
        for (other, entry) in self.docs.iter().filter(|(p, _)| p.team() == path.team()) {
            if references(&entry.doc).any(|(kind, name)| kind == path.kind() && name == path.name()) {
                let detail = format!("{other} refers to it");
                found.push(Problem::new(Code::StillReferenced, path.as_str(), detail));
            }
        }
    }
}

/// The documents of its own team that `doc` refers to, by kind and name.
fn references(doc: &Doc) -> impl Iterator<Item = (DocKind, &str)> {
    let (service, organisation, organisations) = match doc {
        Doc::Route(route) => (Some(route.service.as_str()), None, route.organisations.as_slice()),
        Doc::Key(key) => (None, Some(key.organisation.as_str()), [].as_slice()),
        Doc::Shift(shift) => (Some(shift.service.as_str()), None, [].as_slice()),
        Doc::Drain(drain) => (Some(drain.service.as_str()), None, [].as_slice()),
        Doc::Service(_) | Doc::Organisation(_) | Doc::Topology(_) | Doc::Roster(_) => (None, None, [].as_slice()),
    };
    let same_team_organisations = organisations
        .iter()
        .map(String::as_str)
        .filter(|name| !name.contains('/'));
    service.into_iter().map(|name| (DocKind::Service, name)).chain(
        organisation
            .into_iter()
            .chain(same_team_organisations)
            .map(|name| (DocKind::Organisation, name)),
    )
}

fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}
