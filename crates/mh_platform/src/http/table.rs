use error_stack::{Report, ResultExt};
use hyper::{Method, StatusCode};
use mh_types::Code;

use super::client::{HttpClient, encode};
use crate::{BoxFuture, Commit, Committed, PlatformError, Result, Row, Table};

/// The table service over HTTP.
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
    fn commit<'a>(&'a self, commit: &'a Commit) -> BoxFuture<'a, Result<Committed>> {
        Box::pin(async move {
            let body = serde_json::to_string(commit).change_context(PlatformError(Code::Internal))?;
            let answer = self
                .client
                .send(Method::POST, "/table/commit", Some(body.into()), Code::OutcomeUnknown)
                .await?;
            match answer.status {
                // Both outcomes have the same body form; the status only tells HTTP tools apart.
                StatusCode::OK | StatusCode::CONFLICT => {
                    answer.json().change_context(PlatformError(Code::OutcomeUnknown))
                }
                // An error status may come from a proxy of the service after the write took effect.
                status => Err(Report::new(PlatformError(Code::OutcomeUnknown)).attach(format!("status {status}"))),
            }
        })
    }

    fn read<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            let target = format!("/table/row?path={}", encode(path));
            let answer = self
                .client
                .send(Method::GET, &target, None, Code::TableUnreachable)
                .await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            answer.expect_ok(Code::TableUnreachable)?.json().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let target = format!(
                "/table/rows?prefix={}&after={}&limit={limit}",
                encode(prefix),
                encode(after)
            );
            let answer = self
                .client
                .send(Method::GET, &target, None, Code::TableUnreachable)
                .await?;
            answer.expect_ok(Code::TableUnreachable)?.json()
        })
    }
}
