use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mh_types::{Code, Revision};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::{AdminApi, AdminError, SetRequest};

/// Maximum size of a document in a request, in bytes.
const MAX_DOC_BYTES: usize = 1024 * 1024;
/// Maximum time to read the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before `accept` is called again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Request header with the name of the operator.
const OPERATOR_HEADER: &str = "mangohook-operator";
/// Maximum number of history entries returned if the request has no limit.
const DEFAULT_HISTORY_LIMIT: u32 = 20;

/// Serves the admin port on `listener` until the returned task is aborted.
pub fn serve(listener: TcpListener, api: Arc<dyn AdminApi>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let api = Arc::clone(&api);
            connections.spawn(async move {
                let service = service_fn(move |req| {
                    let api = Arc::clone(&api);
                    async move { Ok::<_, Infallible>(respond(&*api, req).await) }
                });
                // The client may close the connection at any time, which is not an error.
                let _ = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

async fn respond(api: &dyn AdminApi, req: Request<Incoming>) -> Response<Full<Bytes>> {
    match route(api, req).await {
        Ok(response) => response,
        Err(e) => build_response(e.code.status(), "application/problem+json", e.to_json()),
    }
}

async fn route(api: &dyn AdminApi, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, AdminError> {
    let path = req.uri().path().to_owned();
    let query = Query::parse(req.uri().query().unwrap_or_default());
    let method = req.method().clone();
    if let Some(doc_path) = path.strip_prefix("/v1/settings").filter(|rest| rest.starts_with('/')) {
        return handle_settings(api, doc_path, &method, &query, req).await;
    }
    match (method, path.as_str()) {
        (Method::GET, "/v1/settings") => Ok(json_response(&api.list(query.get("prefix").unwrap_or("/")))),
        (Method::GET, "/v1/history") => {
            let limit = query.parse_number("limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
            api.history(query.get("path").unwrap_or_default(), limit)
                .await
                .map(|value| json_response(&value))
        }
        (Method::GET, "/v1/status") => Ok(json_response(&api.status())),
        (Method::GET, "/v1/dump") => Ok(json_response(&api.dump())),
        (Method::GET, "/metrics") => Ok(build_response(
            200,
            "text/plain; version=0.0.4",
            api.metrics().into_bytes(),
        )),
        (method, path) => Err(AdminError::new(
            Code::AdminRequestInvalid,
            format!("there is no {method} {path}"),
        )),
    }
}

async fn handle_settings(
    api: &dyn AdminApi,
    path: &str,
    method: &Method,
    query: &Query,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, AdminError> {
    if *method == Method::GET {
        let found = api.get(path)?;
        return found
            .map(|value| json_response(&value))
            .ok_or_else(|| AdminError::new(Code::PathNotFound, format!("there is no document at {path}")));
    }
    let by = req
        .headers()
        .get(OPERATOR_HEADER)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let if_revision = query.parse_number("if_revision")?.map(Revision);
    let doc = match *method {
        Method::DELETE => None,
        Method::PUT => Some(read_doc(req).await?),
        _ => {
            return Err(AdminError::new(
                Code::AdminRequestInvalid,
                format!("{method} is not possible here"),
            ));
        }
    };
    let reply = api
        .set(SetRequest {
            path: path.to_owned(),
            doc,
            if_revision,
            by,
        })
        .await?;
    let status = if reply.accepted { 200 } else { 202 };
    Ok(build_response(
        status,
        "application/json",
        serde_json::to_vec(&reply).unwrap_or_default(),
    ))
}

async fn read_doc(req: Request<Incoming>) -> Result<String, AdminError> {
    let invalid_request = |e: String| AdminError::new(Code::AdminRequestInvalid, e);
    let bytes = Limited::new(req.into_body(), MAX_DOC_BYTES)
        .collect()
        .await
        .map_err(|e| invalid_request(e.to_string()))?;
    String::from_utf8(bytes.to_bytes().into()).map_err(|e| invalid_request(e.to_string()))
}

/// Decoded query parameters of a request.
struct Query(HashMap<String, String>);

impl Query {
    fn parse(text: &str) -> Self {
        let decode = |text: &str| {
            percent_encoding::percent_decode_str(text)
                .decode_utf8_lossy()
                .into_owned()
        };
        Self(
            text.split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn parse_number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, AdminError> {
        let parse = |text: &str| text.parse().ok();
        match self.get(name) {
            None => Ok(None),
            Some(text) => parse(text)
                .map(Some)
                .ok_or_else(|| AdminError::new(Code::AdminRequestInvalid, format!("{name}={text} is not a number"))),
        }
    }
}

fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    build_response(200, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

fn build_response(status: u16, content_type: &'static str, bytes: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
