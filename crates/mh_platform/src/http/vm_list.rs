use hyper::Method;
use mh_types::Code;

use super::client::HttpClient;
use crate::{BoxFuture, Result, VmList, VmListing};

/// HTTP client of the VM list.
#[derive(Debug)]
pub struct HttpVmList {
    client: HttpClient,
}

impl HttpVmList {
    pub(super) fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> BoxFuture<'_, Result<VmListing>> {
        Box::pin(async move {
            let response = self
                .client
                .send(Method::GET, "/vms", None, Code::VmListUnreachable)
                .await?;
            response.error_for_status(Code::VmListUnreachable)?.json()
        })
    }
}
