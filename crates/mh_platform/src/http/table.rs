use error_stack::{Report, ResultExt};
use hyper::{Method, StatusCode};
use mh_types::Code;

use super::client::{HttpClient, percent_encode};
use crate::{BoxFuture, Commit, CommitOutcome, PlatformError, Result, Row, Table};

/// HTTP client of the transactional table.
#[derive(Debug)]
pub struct HttpTable {
    client: HttpClient,
}

impl HttpTable {
    pub(super) fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl Table for HttpTable {
    fn commit<'a>(&'a self, commit: &'a Commit) -> BoxFuture<'a, Result<CommitOutcome>> {
        Box::pin(async move {
            let body = serde_json::to_string(commit).change_context(PlatformError(Code::Internal))?;
            let response = self
                .client
                .send(Method::POST, "/table/commit", Some(body.into()), Code::OutcomeUnknown)
                .await?;
            match response.status {
                // The body states the outcome in both cases; the status only distinguishes them for HTTP tools.
                StatusCode::OK | StatusCode::CONFLICT => {
                    response.json().change_context(PlatformError(Code::OutcomeUnknown))
                }
                // A proxy in front of the service may return an error status after the write took effect.
                status => Err(Report::new(PlatformError(Code::OutcomeUnknown)).attach(format!("status {status}"))),
            }
        })
    }

    fn read<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            let target = format!("/table/row?path={}", percent_encode(path));
            let response = self
                .client
                .send(Method::GET, &target, None, Code::TableUnreachable)
                .await?;
            if response.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            response.error_for_status(Code::TableUnreachable)?.json().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let target = format!(
                "/table/rows?prefix={}&after={}&limit={limit}",
                percent_encode(prefix),
                percent_encode(after)
            );
            let response = self
                .client
                .send(Method::GET, &target, None, Code::TableUnreachable)
                .await?;
            response.error_for_status(Code::TableUnreachable)?.json()
        })
    }
}
