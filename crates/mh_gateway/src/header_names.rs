use hyper::header::HeaderName;

/// Names of the headers that a deployment's callers and backend servers use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, made by the caller and returned by the server.
    pub request_id: HeaderName,
    /// Milliseconds that the receiver has left.
    pub deadline_ms: HeaderName,
    /// Object that a request is about.
    pub object: HeaderName,
    /// Caller key; it is never passed on.
    pub key: HeaderName,
    /// Organisation that a request runs for, told to the server.
    pub organisation: HeaderName,
    /// Name of the server that a request is meant for; another one refuses it as not run.
    pub expected_server: HeaderName,
    /// Running requests, waiting requests and slots of a server, separated by commas.
    pub server_load: HeaderName,
    /// Present when the server did not run the request.
    pub not_run: HeaderName,
    /// Mark that a server puts on each answer; a success without it comes from something else at the server's address.
    /// `None` where servers set none.
    pub mark: Option<HeaderName>,
}

impl Default for HeaderNames {
    /// The product's own names.
    fn default() -> Self {
        Self {
            request_id: mh_edge::REQUEST_ID_HEADER,
            deadline_ms: mh_edge::DEADLINE_HEADER,
            object: HeaderName::from_static("mangohook-object"),
            key: HeaderName::from_static("mangohook-key"),
            organisation: HeaderName::from_static("mangohook-organisation"),
            expected_server: HeaderName::from_static("mangohook-expected-server"),
            server_load: HeaderName::from_static("mangohook-server-load"),
            not_run: HeaderName::from_static("mangohook-not-run"),
            mark: None,
        }
    }
}
