//! A small running system: platform, backend server and VM processes.
#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses a part, and a failing fixture fails its test"
)]

use std::path::{Path, PathBuf};
use std::time::Duration;

use mh_config::CallerKey;
use mh_platform::{ListedVm, VmListing};
use mh_standin::{Backend, Caller, Platform, ReceivedRequest, Reply, VmProcess};
use serde_json::{Value, json};

/// Path of an idempotent route.
pub const STOCK: &str = "/stock";
/// Path of a route that runs at most once.
pub const ORDER: &str = "/order";

/// Settings that keep tests short.
const EXTRA: &str = "lookup_lifetime_s: 1\nlog: warn\n";

/// Longest wait for something that must happen; bounds a hang, not speed.
const PATIENCE: Duration = Duration::from_mins(1);

/// A platform, a backend server and VMs in two failure domains of one region.
pub struct Site {
    platform: Platform,
    backend: Backend,
    processes: Vec<VmProcess>,
    folder: tempfile::TempDir,
    extra: String,
}

impl Site {
    /// Starts `vms` VM processes and writes the settings of one team.
    pub async fn start(vms: usize) -> Self {
        Self::start_with(vms, "").await
    }

    /// As [`Site::start`], with further lines of the VM settings file.
    pub async fn start_with(vms: usize, extra: &str) -> Self {
        let platform = Platform::start().await.unwrap();
        let backend = Backend::start("s1").await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut site = Self {
            platform,
            backend,
            processes: Vec::new(),
            folder,
            extra: format!("{EXTRA}{extra}"),
        };
        for i in 0..vms {
            site.add_vm(i).await;
        }
        site.list_vms();
        let fully_met = async |site: &Self| {
            for process in &site.processes {
                let status = Caller::new(None)
                    .get(process.listed().admin, "/v1/status")
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
        eventually("the VMs hear each other", async || fully_met(&site).await).await;
        site.write_settings().await;
        site
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
            &self.extra,
        )
        .await
        .unwrap();
        self.processes.push(process);
    }

    /// Lists every VM process as live.
    pub fn list_vms(&self) {
        let vms = self.processes.iter().map(|process| process.listed().clone()).collect();
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
                json!({"service": "stock", "path": STOCK, "execution": "idempotent", "max_body_bytes": 2000}),
            ),
            (
                "/teams/shop/routes/order",
                json!({"service": "stock", "path": ORDER, "execution": "at-most-once"}),
            ),
        ];
        for (path, doc) in docs {
            let reply = self.set(path, &doc).await;
            assert!(reply.status.is_success(), "{path}: {}", reply.text());
        }
        let has_share = async |vm: &VmProcess| {
            let dump = Caller::new(None)
                .get(vm.listed().admin, "/v1/dump")
                .await
                .unwrap()
                .json();
            dump["allowances"]["shop/orchard"]["burst_usable"]
                .as_f64()
                .is_some_and(|burst| burst >= 1.0)
        };
        for vm in &self.processes {
            eventually("every VM has a share of the allowance", async || has_share(vm).await).await;
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

    /// Withdraws a key and returns the system's reply.
    pub async fn withdraw_key(&self, id: &str) -> Value {
        self.remove(&format!("/teams/shop/keys/{id}")).await.json()
    }

    /// The platform's stand-in.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The backend server's stand-in.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Requests that the backend server received.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.backend.seen()
    }

    /// A VM's addresses.
    pub fn vm(&self, i: usize) -> &ListedVm {
        self.processes[i].listed()
    }

    /// Log lines of a VM.
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

/// Waits until `holds`, and fails the test when it never does.
pub async fn eventually(what: &str, holds: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
