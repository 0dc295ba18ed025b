use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mh_platform::{Commit, CommitOutcome, VmListing};
use tokio::task::JoinHandle;

use crate::serve::{Body, serve};
use crate::{Faults, MemoryTable};

/// The platform's three services on one loopback port.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Inner {
    table: MemoryTable,
    objects: Mutex<BTreeMap<String, Bytes>>,
    vms: Mutex<VmListing>,
    faults: Faults,
}

impl Platform {
    /// Starts the services on a free port.
    ///
    /// # Errors
    ///
    /// The error of binding a loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let shared = Arc::clone(&inner);
        let handle = move |req| {
            let inner = Arc::clone(&shared);
            async move { inner.handle(req).await }
        };
        let (addr, task) = serve(SocketAddr::from(([127, 0, 0, 1], 0)), handle).await?;
        Ok(Self { addr, inner, task })
    }

    /// Address of all three services.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Faults of all three services.
    pub fn faults(&self) -> &Faults {
        &self.inner.faults
    }

    /// The table behind the service.
    pub fn table(&self) -> &MemoryTable {
        &self.inner.table
    }

    /// Keys of the objects stored now.
    pub fn objects(&self) -> Vec<String> {
        self.inner
            .objects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .keys()
            .cloned()
            .collect()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, listing: VmListing) {
        *self.inner.vms.lock().unwrap_or_else(PoisonError::into_inner) = listing;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    async fn handle(&self, req: Request<Incoming>) -> std::io::Result<Response<Body>> {
        if self.faults.is_down() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let answer = self.answer(req).await?;
        tokio::time::sleep(self.faults.delay()).await;
        if self.faults.loses_replies() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if self.faults.garbles() {
            return Ok(whole(StatusCode::OK, Bytes::from_static(b"{\"path\": \xff")));
        }
        Ok(answer)
    }

    async fn answer(&self, req: Request<Incoming>) -> std::io::Result<Response<Body>> {
        let path = req.uri().path().to_owned();
        let query = query(req.uri().query().unwrap_or_default());
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(1000);
        let method = req.method().clone();
        let body = req
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        let objects = || self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = path.strip_prefix("/objects/") {
            let key = decode(key);
            return Ok(match method {
                Method::PUT => {
                    objects().insert(key, body);
                    empty(StatusCode::NO_CONTENT)
                }
                Method::DELETE => {
                    objects().remove(&key);
                    empty(StatusCode::NO_CONTENT)
                }
                _ => match objects().get(&key) {
                    Some(body) => whole(StatusCode::OK, body.clone()),
                    None => empty(StatusCode::NOT_FOUND),
                },
            });
        }
        Ok(match (method, path.as_str()) {
            (Method::POST, "/table/commit") => match serde_json::from_slice::<Commit>(&body) {
                Ok(commit) => {
                    let outcome = self.table.commit(&commit);
                    let conflict = matches!(outcome, CommitOutcome::Conflict { .. });
                    json(if conflict { StatusCode::CONFLICT } else { StatusCode::OK }, &outcome)
                }
                Err(_) => empty(StatusCode::BAD_REQUEST),
            },
            (Method::GET, "/table/row") => match self.table.read(&text("path")) {
                Some(row) => json(StatusCode::OK, &row),
                None => empty(StatusCode::NOT_FOUND),
            },
            (Method::GET, "/table/rows") => {
                json(StatusCode::OK, &self.table.list(&text("prefix"), &text("after"), limit))
            }
            (Method::GET, "/objects") => {
                let (prefix, after) = (text("prefix"), text("after"));
                let keys: Vec<String> = objects()
                    .keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .take(limit)
                    .cloned()
                    .collect();
                json(StatusCode::OK, &keys)
            }
            (Method::GET, "/vms") => json(
                StatusCode::OK,
                &*self.vms.lock().unwrap_or_else(PoisonError::into_inner),
            ),
            _ => empty(StatusCode::NOT_FOUND),
        })
    }
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

fn whole(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *answer.status_mut() = status;
    answer
}

fn empty(status: StatusCode) -> Response<Body> {
    whole(status, Bytes::new())
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    whole(status, serde_json::to_vec(value).unwrap_or_default().into())
}
