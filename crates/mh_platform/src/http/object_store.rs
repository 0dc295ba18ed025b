use bytes::Bytes;
use hyper::{Method, StatusCode};
use mh_types::Code;

use super::client::{HttpClient, percent_encode};
use crate::{BoxFuture, ObjectStore, Result};

/// HTTP client of the object store.
#[derive(Debug)]
pub struct HttpObjectStore {
    client: HttpClient,
}

impl HttpObjectStore {
    pub(super) fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl ObjectStore for HttpObjectStore {
    fn put<'a>(&'a self, key: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent_encode(key));

            let response = self
                .client
                .send(Method::PUT, &path, Some(body), Code::ObjectsUnreachable)
                .await?;
            response.error_for_status(Code::ObjectsUnreachable).map(|_| ())
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent_encode(key));
            let response = self
                .client
                .send(Method::GET, &path, None, Code::ObjectsUnreachable)
                .await?;
            if response.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            response
                .error_for_status(Code::ObjectsUnreachable)
                .map(|response| Some(response.body))
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent_encode(key));
            let response = self
                .client
                .send(Method::DELETE, &path, None, Code::ObjectsUnreachable)
                .await?;
            response.error_for_status(Code::ObjectsUnreachable).map(|_| ())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            let path = format!(
                "/objects?prefix={}&after={}&limit={limit}",
                percent_encode(prefix),
                percent_encode(after)
            );
            let response = self
                .client
                .send(Method::GET, &path, None, Code::ObjectsUnreachable)
                .await?;
            response.error_for_status(Code::ObjectsUnreachable)?.json()
        })
    }
}
