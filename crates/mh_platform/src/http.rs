mod client;
mod objects;
mod table;
mod vm_list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use client::{HttpAnswer, HttpClient, encode};
pub use objects::HttpObjects;
pub use table::HttpTable;
pub use vm_list::HttpVmList;

/// The three platform services over HTTP with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    /// The transactional table.
    pub table: Arc<HttpTable>,
    /// The object store.
    pub objects: Arc<HttpObjects>,
    /// The list of VMs.
    pub vms: Arc<HttpVmList>,
}

impl HttpPlatform {
    /// Clients of the services at the three addresses.
    ///
    /// `timeout` bounds each request, `per_second` the requests a second of each client.
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr, timeout: Duration, per_second: u32) -> Self {
        Self {
            table: Arc::new(HttpTable::new(HttpClient::new(table, timeout, per_second))),
            objects: Arc::new(HttpObjects::new(HttpClient::new(objects, timeout, per_second))),
            vms: Arc::new(HttpVmList::new(HttpClient::new(vms, timeout, per_second))),
        }
    }
}
