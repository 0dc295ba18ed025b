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

/// Stand-in for the platform's three services (table, objects, list of VMs) on one loopback port.
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
        let shared_inner = Arc::clone(&inner);
        let handle = move |req| {
            let inner = Arc::clone(&shared_inner);
            async move { inner.handle(req).await }
        };
        let (addr, task) = serve(SocketAddr::from(([127, 0, 0, 1], 0)), handle).await?;
        Ok(Self { addr, inner, task })
    }

    /// Returns the address of all three services.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the faults that can be switched on for all three services.
    pub fn faults(&self) -> &Faults {
        &self.inner.faults
    }

    /// Returns the table of the table service.
    pub fn table(&self) -> &MemoryTable {
        &self.inner.table
    }

    /// Returns the keys of all stored objects.
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
        let response = self.process(req).await?;
        tokio::time::sleep(self.faults.delay()).await;
        if self.faults.loses_replies() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if self.faults.corrupts_responses() {
            return Ok(full_response(StatusCode::OK, Bytes::from_static(b"{\"path\": \xff")));
        }
        Ok(response)
    }

    async fn process(&self, req: Request<Incoming>) -> std::io::Result<Response<Body>> {
        let path = req.uri().path().to_owned();
        let query = parse_query(req.uri().query().unwrap_or_default());
        let param = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = param("limit").parse().unwrap_or(1000);
        let method = req.method().clone();
        let body = req
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        let objects = || self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = path.strip_prefix("/objects/") {
            let key = percent_decode(key);
            return Ok(match method {
                Method::PUT => {
                    objects().insert(key, body);
                    empty_response(StatusCode::NO_CONTENT)
                }
                Method::DELETE => {
                    objects().remove(&key);
                    empty_response(StatusCode::NO_CONTENT)
                }
                _ => match objects().get(&key) {
                    Some(body) => full_response(StatusCode::OK, body.clone()),
                    None => empty_response(StatusCode::NOT_FOUND),
                },
            });
        }
        Ok(match (method, path.as_str()) {
            (Method::POST, "/table/commit") => match serde_json::from_slice::<Commit>(&body) {
                Ok(commit) => {
                    let outcome = self.table.commit(&commit);
                    let is_conflict = matches!(outcome, CommitOutcome::Conflict { .. });
                    json_response(
                        if is_conflict {
                            StatusCode::CONFLICT
                        } else {
                            StatusCode::OK
                        },
                        &outcome,
                    )
                }
                Err(_) => empty_response(StatusCode::BAD_REQUEST),
            },
            (Method::GET, "/table/row") => match self.table.read(&param("path")) {
                Some(row) => json_response(StatusCode::OK, &row),
                None => empty_response(StatusCode::NOT_FOUND),
            },
            (Method::GET, "/table/rows") => json_response(
                StatusCode::OK,
                &self.table.list(&param("prefix"), &param("after"), limit),
            ),
            (Method::GET, "/objects") => {
                let (prefix, after) = (param("prefix"), param("after"));
                let keys: Vec<String> = objects()
                    .keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .take(limit)
                    .cloned()
                    .collect();
                json_response(StatusCode::OK, &keys)
            }
            (Method::GET, "/vms") => json_response(
                StatusCode::OK,
                &*self.vms.lock().unwrap_or_else(PoisonError::into_inner),
            ),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

fn full_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    response
}

fn empty_response(status: StatusCode) -> Response<Body> {
    full_response(status, Bytes::new())
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    full_response(status, serde_json::to_vec(value).unwrap_or_default().into())
}
