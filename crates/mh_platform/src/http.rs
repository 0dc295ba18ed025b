mod client;
mod object_store;
mod table;
mod vm_list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use client::{HttpClient, HttpResponse, percent_encode};
pub use object_store::HttpObjectStore;
pub use table::HttpTable;
pub use vm_list::HttpVmList;

/// HTTP clients of the three platform services, with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    /// The transactional table.
    pub table: Arc<HttpTable>,
    /// The object store.
    pub objects: Arc<HttpObjectStore>,
    /// The VM list.
    pub vms: Arc<HttpVmList>,
}

impl HttpPlatform {
    /// Creates clients of the services at the three addresses.
    ///
    /// Each request takes at most `timeout`; each client sends at most `per_second` requests per second.
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr, timeout: Duration, per_second: u32) -> Self {
        Self {
            table: Arc::new(HttpTable::new(HttpClient::new(table, timeout, per_second))),
            objects: Arc::new(HttpObjectStore::new(HttpClient::new(objects, timeout, per_second))),
            vms: Arc::new(HttpVmList::new(HttpClient::new(vms, timeout, per_second))),
        }
    }
}
