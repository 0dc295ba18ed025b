use bytes::Bytes;
use hyper::Request;
use hyper::http::request::Parts;
use mh_types::{OrgName, RouteName};
use serde::{Deserialize, Serialize};

use crate::headers::to_pairs;

/// Current format number of stored requests.
const STORED_REQUEST_FORMAT: u32 = 1;

/// A request that was acknowledged to the caller and is delivered later.
///
/// It contains no caller key: the organisation was determined when the request arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredRequest {
    /// Format number; a higher one was written by a newer version.
    pub format: u32,
    /// Route that matched.
    pub route: RouteName,
    /// Organisation of the key that the request carried.
    pub org: Option<OrgName>,
    /// Request id.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers without the caller key.
    pub headers: Vec<(String, Bytes)>,
    /// Complete body.
    pub body: Bytes,
}

/// Result of an attempt to deliver a stored request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// A backend server accepted the request.
    Delivered,
    /// The delivery has to be retried.
    RetryLater,
}

impl DeferredRequest {
    pub(crate) fn new(route: RouteName, org: Option<OrgName>, request_id: &str, parts: &Parts, body: Bytes) -> Self {
        Self {
            format: STORED_REQUEST_FORMAT,
            route,
            org,
            request_id: request_id.to_owned(),
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: to_pairs(&parts.headers),
            body,
        }
    }

    /// Returns whether this version of the software can read the request.
    pub fn is_readable(&self) -> bool {
        self.format <= STORED_REQUEST_FORMAT
    }

    pub(crate) fn to_parts(&self) -> Option<Parts> {
        let mut req = Request::builder()
            .method(self.method.as_str())
            .uri(self.target.as_str());
        for (name, value) in &self.headers {
            req = req.header(name.as_str(), value.as_ref());
        }
        Some(req.body(()).ok()?.into_parts().0)
    }
}
