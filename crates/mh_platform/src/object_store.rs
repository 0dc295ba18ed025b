use std::fmt::Debug;

use bytes::Bytes;

use crate::{BoxFuture, Result};

/// Client interface of the platform's object store.
pub trait ObjectStore: Debug + Send + Sync {
    /// Stores an object. Idempotent for the same content.
    fn put<'a>(&'a self, key: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>>;

    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>>;

    /// Deletes an object. Succeeds if the object does not exist.
    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>>;

    /// Lists up to `limit` keys that start with `prefix` and sort after `after`, in order.
    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<String>>>;
}
