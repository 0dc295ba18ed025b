use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mh_node::Exit;
use serde_json::Value;

use crate::CtlError;

/// Maximum time to wait for a VM's response. It includes the time that a VM waits for a change to be accepted.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the admin ports of VMs.
#[derive(Clone, Debug)]
pub struct Client {
    admin_addrs: Vec<SocketAddr>,
    operator: String,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that tries the addresses in `admin_addrs` in order.
    pub fn new(admin_addrs: Vec<SocketAddr>, operator: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self {
            admin_addrs,
            operator,
            http: HyperClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request to the first VM that accepts a connection.
    ///
    /// # Errors
    ///
    /// [`Exit::Unreachable`] if no VM responds, [`Exit::Refused`] with the result code if the VM refuses the request, and
    /// [`Exit::Usage`] if there is no address or the request is not valid.
    pub async fn send(
        &self,
        method: Method,
        target: &str,
        body: Option<String>,
    ) -> Result<(StatusCode, Value), CtlError> {
        let mut last_error = CtlError::new(Exit::Usage, "no admin address given; set --admin or MANGOHOOK_ADMIN");
        for addr in &self.admin_addrs {
            match self.send_to(*addr, &method, target, body.clone()).await {
                // Once connected, a VM may have carried out the request, so sending it to another could run it twice.
                Ok(result) => return result,
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Sends a request to one VM. The outer error means that no connection was made and another VM can be tried.
    async fn send_to(
        &self,
        addr: SocketAddr,
        method: &Method,
        target: &str,
        body: Option<String>,
    ) -> Result<Result<(StatusCode, Value), CtlError>, CtlError> {
        let unreachable = |e: String| CtlError::new(Exit::Unreachable, format!("{addr}: {e}"));
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{target}"))
            .header("mangohook-operator", &self.operator)
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|e| CtlError::new(Exit::Usage, e.to_string()))?;
        let response = match tokio::time::timeout(RESPONSE_TIMEOUT, self.http.request(req)).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if e.is_connect() => return Err(unreachable(e.to_string())),
            Ok(Err(e)) => return Ok(Err(unreachable(format!("{e}; the request may have been carried out")))),
            Err(_) => return Ok(Err(unreachable("no response in time; check the history".to_owned()))),
        };
        let status = response.status();
        let bytes = match response.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Ok(Err(unreachable(e.to_string()))),
        };
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if status.is_success() {
            return Ok(Ok((status, value)));
        }
        let message = format!(
            "MH{} {}\n{}",
            value["code"],
            value["title"].as_str().unwrap_or_default(),
            value["detail"].as_str().unwrap_or_default()
        );
        Ok(Err(CtlError::new(Exit::Refused, message)))
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn get(&self, target: &str) -> Result<Value, CtlError> {
        self.send(Method::GET, target, None).await.map(|(_, value)| value)
    }

    /// Sets the document at `path`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn set(&self, path: &str, doc: &Value, if_revision: Option<u64>) -> Result<Value, CtlError> {
        let target = settings_target(path, if_revision);
        self.send(Method::PUT, &target, Some(doc.to_string()))
            .await
            .map(|(_, value)| value)
    }

    /// Removes the document at `path`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn remove(&self, path: &str, if_revision: Option<u64>) -> Result<Value, CtlError> {
        let target = settings_target(path, if_revision);
        self.send(Method::DELETE, &target, None).await.map(|(_, value)| value)
    }
}

/// Returns the request target of the document at `path`, with the revision that it must have.
fn settings_target(path: &str, if_revision: Option<u64>) -> String {
    match if_revision {
        Some(revision) => format!("/v1/settings{path}?if_revision={revision}"),
        None => format!("/v1/settings{path}"),
    }
}
