use bytes::Bytes;
use hyper::{Method, StatusCode};
use mh_types::Code;

use super::client::{HttpClient, encode};
use crate::{BoxFuture, Objects, Result};

/// The object store over HTTP.
#[derive(Debug)]
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    pub(super) fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl Objects for HttpObjects {
    fn put<'a>(&'a self, key: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{}", encode(key));

            let answer = self
                .client
                .send(Method::PUT, &path, Some(body), Code::ObjectsUnreachable)
                .await?;
            answer.expect_ok(Code::ObjectsUnreachable).map(|_| ())
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        Box::pin(async move {
            let path = format!("/objects/{}", encode(key));
            let answer = self
                .client
                .send(Method::GET, &path, None, Code::ObjectsUnreachable)
                .await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            answer
                .expect_ok(Code::ObjectsUnreachable)
                .map(|answer| Some(answer.body))
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{}", encode(key));
            let answer = self
                .client
                .send(Method::DELETE, &path, None, Code::ObjectsUnreachable)
                .await?;
            answer.expect_ok(Code::ObjectsUnreachable).map(|_| ())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            let path = format!(
                "/objects?prefix={}&after={}&limit={limit}",
                encode(prefix),
                encode(after)
            );
            let answer = self
                .client
                .send(Method::GET, &path, None, Code::ObjectsUnreachable)
                .await?;
            answer.expect_ok(Code::ObjectsUnreachable)?.json()
        })
    }
}
