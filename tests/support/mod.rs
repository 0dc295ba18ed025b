//! Test fixture that runs a platform stand-in, a backend server stand-in and VM processes.
#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses only some of the items, and a failing fixture fails its test"
)]

use std::path::{Path, PathBuf};
use std::time::Duration;

use mh_config::CallerKey;
use mh_platform::{ListedVm, VmListing};
use mh_standin::{Backend, Caller, Platform, ReceivedRequest, Reply, VmProcess};
use serde_json::{Value, json};

/// Path of a route with idempotent execution.
pub const STOCK_PATH: &str = "/stock";
/// Path of a route with at-most-once execution.
pub const ORDER_PATH: &str = "/order";

/// VM settings lines that shorten the tests.
const BASE_SETTINGS: &str = "lookup_lifetime_s: 1\nlog: warn\n";

/// Time after which a wait fails its test; long enough for a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A platform, a backend server and VMs in two failure domains of one region.
pub struct TestSystem {
    platform: Platform,
    backend: Backend,
    processes: Vec<VmProcess>,
    folder: tempfile::TempDir,
    extra_settings: String,
}

impl TestSystem {
    /// Starts `vms` VM processes and writes the settings documents of one team.
    pub async fn start(vms: usize) -> Self {
        Self::start_with(vms, "").await
    }

    /// Like [`TestSystem::start`], with additional lines in the VM settings file.
    pub async fn start_with(vms: usize, extra_settings: &str) -> Self {
        let platform = Platform::start().await.unwrap();
        let backend = Backend::start("s1").await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut system = Self {
            platform,
            backend,
            processes: Vec::new(),
            folder,
            extra_settings: format!("{BASE_SETTINGS}{extra_settings}"),
        };
        for i in 0..vms {
            system.add_vm(i).await;
        }
        system.publish_vm_list();
        let all_connected = async |system: &Self| {
            for process in &system.processes {
                let status = Caller::new(None)
                    .get(process.list_entry().admin, "/v1/status")
                    .await
                    .unwrap()
                    .json();
                let peers = status["peers"].as_array().unwrap();
                if peers.len() + 1 < vms || peers.iter().any(|peer| peer["heard_ms_ago"].is_null()) {
                    return false;
                }
            }
            true
        };
        wait_until("every VM has heard from every other VM", async || {
            all_connected(&system).await
        })
        .await;
        system.write_settings().await;
        system
    }

    async fn add_vm(&mut self, i: usize) {
        let domain = ["a", "b"][i % 2];
        let (binary, name) = (binary(), format!("vm-{i}"));
        let platform = self.platform.addr();
        let process = VmProcess::start(
            &binary,
            self.folder.path(),
            &name,
            (domain, "maine"),
            platform,
            &self.extra_settings,
        )
        .await
        .unwrap();
        self.processes.push(process);
    }

    /// Publishes every VM process as live in the platform's list of VMs.
    pub fn publish_vm_list(&self) {
        let vms = self
            .processes
            .iter()
            .map(|process| process.list_entry().clone())
            .collect();
        self.platform.set_vms(VmListing { lag_ms: 1000, vms });
    }

    async fn write_settings(&self) {
        let server = json!({"name": "s1", "addr": self.backend.addr(), "domain": "a", "slots": 5, "connections": 300});
        let docs = [
            (
                "/system/topology",
                json!({"domains": [{"name": "a", "region": "maine"}, {"name": "b", "region": "maine"}]}),
            ),
            ("/teams/shop/services/stock", json!({"servers": [server]})),
            (
                "/teams/shop/organisations/orchard",
                json!({"rate_per_second": 1000.0, "burst": 1000}),
            ),
            (
                "/teams/shop/routes/stock",
                json!({"service": "stock", "path": STOCK_PATH, "execution": "idempotent", "max_body_bytes": 2000}),
            ),
            (
                "/teams/shop/routes/order",
                json!({"service": "stock", "path": ORDER_PATH, "execution": "at-most-once"}),
            ),
        ];
        for (path, doc) in docs {
            let reply = self.set(path, &doc).await;
            assert!(reply.status.is_success(), "{path}: {}", reply.text());
        }
        let has_share = async |vm: &VmProcess| {
            let dump = Caller::new(None)
                .get(vm.list_entry().admin, "/v1/dump")
                .await
                .unwrap()
                .json();
            dump["allowances"]["shop/orchard"]["burst_usable"]
                .as_f64()
                .is_some_and(|burst| burst >= 1.0)
        };
        for vm in &self.processes {
            wait_until("every VM has a share of the allowance", async || has_share(vm).await).await;
        }
    }

    /// Sets a document through the first VM.
    pub async fn set(&self, path: &str, doc: &Value) -> Reply {
        let target = format!("/v1/settings{path}");
        Caller::new(None)
            .send(self.vm(0).admin, "PUT", &target, &[], &doc.to_string())
            .await
            .unwrap()
    }

    /// Removes a document through the first VM.
    pub async fn remove(&self, path: &str) -> Reply {
        Caller::new(None)
            .send(self.vm(0).admin, "DELETE", &format!("/v1/settings{path}"), &[], "")
            .await
            .unwrap()
    }

    /// Grants a key and returns it.
    pub async fn grant_key(&self, organisation: &str, id: &str) -> String {
        let key = CallerKey::new("shop", id, &[7; 32]);
        let doc = json!({"organisation": organisation, "hash": key.hash()});
        let reply = self.set(&format!("/teams/shop/keys/{id}"), &doc).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        key.reveal().to_owned()
    }

    /// Withdraws a key and returns the VM's reply.
    pub async fn withdraw_key(&self, id: &str) -> Value {
        self.remove(&format!("/teams/shop/keys/{id}")).await.json()
    }

    /// The platform stand-in.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The backend server stand-in.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Requests that the backend server received.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.backend.received_requests()
    }

    /// A VM's addresses.
    pub fn vm(&self, i: usize) -> &ListedVm {
        self.processes[i].list_entry()
    }

    /// The log output of a VM.
    pub fn log(&self, i: usize) -> String {
        self.processes[i].log()
    }

    /// A VM's process.
    pub fn process(&mut self, i: usize) -> &mut VmProcess {
        &mut self.processes[i]
    }
}

fn binary() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_mangohook")).to_owned()
}

/// Polls until `holds` returns true, and fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(condition: &str, holds: impl AsyncFn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
