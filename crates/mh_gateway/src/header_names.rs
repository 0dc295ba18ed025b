use hyper::header::HeaderName;

/// Header names used between callers, the gateway and the backend servers of a deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id, set by the caller and echoed by the server.
    pub request_id: HeaderName,
    /// Milliseconds that the receiver has left to answer.
    pub deadline_ms: HeaderName,
    /// Object that a request refers to.
    pub object: HeaderName,
    /// API key of the caller; it is never forwarded.
    pub key: HeaderName,
    /// Organisation that a request is made for, sent to the server.
    pub organisation: HeaderName,
    /// Name of the server that a request is addressed to; any other server refuses it as not run.
    pub expected_server: HeaderName,
    /// Running requests, waiting requests and slots of a server, separated by commas.
    pub server_load: HeaderName,
    /// Requests per second that a server in need accepts from all VMs together.
    pub server_limit: HeaderName,
    /// Present if the server did not run the request.
    pub not_run: HeaderName,
    /// Header that a server sets on every answer; a success without it comes from something else at the server's
    /// address.
    /// `None` if the servers set no such header.
    pub server_stamp: Option<HeaderName>,
}

impl Default for HeaderNames {
    /// The default header names of the product.
    fn default() -> Self {
        Self {
            request_id: mh_edge::REQUEST_ID_HEADER,
            deadline_ms: mh_edge::DEADLINE_HEADER,
            object: HeaderName::from_static("mangohook-object"),
            key: HeaderName::from_static("mangohook-key"),
            organisation: HeaderName::from_static("mangohook-organisation"),
            expected_server: HeaderName::from_static("mangohook-expected-server"),
            server_load: HeaderName::from_static("mangohook-server-load"),
            server_limit: HeaderName::from_static("mangohook-server-limit"),
            not_run: HeaderName::from_static("mangohook-not-run"),
            server_stamp: None,
        }
    }
}
