use std::time::Duration;

use mh_admin::{AdminError, ChangeReply, SetRequest};
use mh_config::{Change, Doc, DocPath, FORMAT, Stored};
use mh_platform::{Commit, CommitOutcome, Expect, PlatformError, Row, Write, commit_with_retries};
use mh_types::{Code, Event, Revision, emit};
use tokio::time::Instant;

use crate::Node;
use crate::currency::ROSTER_PATH;
use crate::node::lock;
use crate::store::{HEAD_PATH, Head, doc_path, head_value, log_path};

/// Tries of a commit that loses against changes of other paths.
const MAX_TRIES: u32 = 20;
/// Tries of a commit with an unknown outcome before the operator is told so.
const RESOLVE_TRIES: u32 = 6;
/// Longest wait for a change to be accepted before the answer says that it is not yet.
const ACCEPT_WAIT: Duration = Duration::from_secs(3);
/// Time between two looks at which VMs hold a change.
const ACCEPT_POLL: Duration = Duration::from_millis(20);

/// A commit whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedCommit {
    revision: Revision,
    commit: Commit,
    write_id: String,
}

impl Node {
    /// Commits an operator's change and waits for it to be accepted.
    pub(crate) async fn change(&self, req: SetRequest) -> Result<ChangeReply, AdminError> {
        if req.path == ROSTER_PATH {
            return Err(AdminError::new(
                Code::PathInvalid,
                "the roster is written by the VMs themselves",
            ));
        }
        let revision = self.commit(req).await?;
        Ok(self.await_acceptance(revision).await)
    }

    /// Commits a change.
    pub(crate) async fn commit(&self, req: SetRequest) -> Result<Revision, AdminError> {
        let path = DocPath::parse(&req.path)?;
        let change = match &req.doc {
            Some(json) => Change::set(path.clone(), Doc::from_json(&path, json)?),
            None => Change::remove(path.clone()),
        };
        let write_id = hex::encode(rand::random::<[u8; 16]>());
        for _ in 0..MAX_TRIES {
            if let Some(revision) = self.try_commit(&req, &path, &change, &write_id).await? {
                emit!(Event::ChangeCommitted, revision = revision, path = path, by = req.by);
                return Ok(revision);
            }
        }
        Err(AdminError::new(
            Code::RevisionConflict,
            "too many changes at the same time; try again",
        ))
    }

    /// One try; `None` when a change of another path came first.
    async fn try_commit(
        &self,
        req: &SetRequest,
        path: &DocPath,
        change: &Change,
        write_id: &str,
    ) -> Result<Option<Revision>, AdminError> {
        let head = self.catch_up().await.map_err(|e| platform_error(&e))?;
        let row = self
            .store
            .table
            .read(&doc_path(path.as_str()))
            .await
            .map_err(|e| platform_error(&e))?;
        let found = row
            .as_ref()
            .map(|row| Stored::decode(path.as_str(), &row.value))
            .transpose()?;
        check_revision(req.if_revision, path, found.as_ref())?;
        {
            let control = lock(&self.control);
            if control.revision() != head.revision {
                return Ok(None);
            }
            control.settings().check(change)?;
        }
        let revision = head.revision.next();
        let stored = Stored {
            format: FORMAT,
            path: path.to_string(),
            revision,
            created: found.map_or(revision, |found| found.created),
            write_id: write_id.to_owned(),
            by: req.by.clone(),
            at: jiff::Timestamp::now().to_string(),
            doc: change
                .doc()
                .and_then(|doc| serde_json::value::RawValue::from_string(doc.to_json()).ok()),
        };
        let commit = build_commit(path, &stored, row.as_ref(), head);
        match commit_with_retries(&*self.store.table, &commit, RESOLVE_TRIES).await {
            Ok(CommitOutcome::Done { .. }) => {}
            // An earlier try whose reply was lost may be what this one conflicts with.
            Ok(CommitOutcome::Conflict { .. }) => {
                if !self.is_own(revision, write_id).await? {
                    return Ok(None);
                }
            }
            Err(e) => {
                if e.current_context().0 == Code::OutcomeUnknown {
                    self.with_currency(|state| state.fresh.on_commit_unknown(revision));
                    lock(&self.unresolved).push(UnresolvedCommit {
                        revision,
                        commit,
                        write_id: write_id.to_owned(),
                    });
                }
                return Err(platform_error(&e));
            }
        }
        // Only the table's rows count; a failure here is mended by the settings loop.
        let _ = self.catch_up().await;
        Ok(Some(revision))
    }

    /// Finds out what became of commits whose outcome is unknown, by sending each again.
    ///
    /// Until that is known this VM cannot be current: the change may be in force elsewhere.
    pub(crate) async fn resolve_commits(&self) {
        let pending = std::mem::take(&mut *lock(&self.unresolved));
        for unresolved in pending {
            let UnresolvedCommit {
                revision,
                commit,
                write_id,
            } = &unresolved;
            let committed = match self.store.table.commit(commit).await {
                Ok(CommitOutcome::Done { .. }) => Ok(true),
                Ok(CommitOutcome::Conflict { .. }) => self.is_own(*revision, write_id).await,
                Err(e) => Err(platform_error(&e)),
            };
            match committed {
                Ok(committed) => {
                    self.with_currency(|state| state.fresh.on_commit_resolved(*revision, committed));
                }
                Err(_) => lock(&self.unresolved).push(unresolved),
            }
        }
    }

    async fn is_own(&self, revision: Revision, write_id: &str) -> Result<bool, AdminError> {
        let row = self.store.table.read(&log_path(revision)).await;
        let row = row.map_err(|_| {
            AdminError::new(
                Code::OutcomeUnknown,
                format!("look at the history for write id {write_id}"),
            )
        })?;
        let Some(row) = row else { return Ok(false) };
        Ok(Stored::decode(&row.path, &row.value)?.write_id == write_id)
    }

    async fn await_acceptance(&self, revision: Revision) -> ChangeReply {
        let until = Instant::now() + ACCEPT_WAIT;
        loop {
            self.beat_now.notify_one();
            let missing = self.missing(revision);
            let accepted = lock(&self.currency).fresh.acceptance(revision).is_accepted();
            if (accepted && missing.is_empty()) || Instant::now() >= until {
                return ChangeReply {
                    revision,
                    accepted,
                    missing,
                };
            }
            tokio::time::sleep(ACCEPT_POLL).await;
        }
    }

    /// Listed VMs that have not yet said that they hold `revision`.
    fn missing(&self, revision: Revision) -> Vec<String> {
        let peers = lock(&self.peers);
        let lacks = |name| peers.heard.get(name).is_none_or(|heard| heard.revision < revision);
        peers
            .others(&self.cfg.vm)
            .filter(|vm| lacks(&vm.name))
            .map(|vm| vm.name.to_string())
            .collect()
    }
}

fn check_revision(wanted: Option<Revision>, path: &DocPath, found: Option<&Stored>) -> Result<(), AdminError> {
    let actual = found.map_or(Revision::ZERO, |found| found.revision);
    match wanted {
        Some(wanted) if wanted != actual => {
            let who = found.map_or_else(
                || "there is no document now".to_owned(),
                |found| {
                    let now = found.doc.as_ref().map_or("removed", |doc| doc.get());
                    format!(
                        "it has revision {actual}, written by {:?} at {}: {now}",
                        found.by, found.at
                    )
                },
            );
            Err(AdminError::new(
                Code::RevisionConflict,
                format!("{path}: expected revision {wanted}, but {who}"),
            ))
        }
        _ => Ok(()),
    }
}

fn build_commit(path: &DocPath, stored: &Stored, row: Option<&Row>, head: Head) -> Commit {
    let expect = |version: Option<u64>| version.map_or(Expect::Absent, Expect::Version);
    let doc_path = doc_path(path.as_str());
    let doc_expect = expect(row.map(|row| row.version));
    let doc = match &stored.doc {
        Some(_) => Write::set(doc_path, stored.encode(), doc_expect),
        None => Write::remove(doc_path, doc_expect),
    };
    Commit::new()
        .with(Write::set(HEAD_PATH, head_value(stored.revision), expect(head.version)))
        .with(Write::set(log_path(stored.revision), stored.encode(), Expect::Absent))
        .with(doc)
}

fn platform_error(e: &error_stack::Report<PlatformError>) -> AdminError {
    AdminError::new(
        e.current_context().0,
        format!("{e:?}").lines().next().unwrap_or_default(),
    )
}
