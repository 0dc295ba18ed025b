//! A gateway VM of the soak test.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, PoisonError};

use mh_standin::{Process, free_addrs};

use super::fake_store::{FakeStore, SeenAddrs};
use super::operator::{settings, with_own_region};
use super::proxy::{OpenConnections, Proxy};
use super::step::FaultSet;

/// A gateway VM: its process, if it runs, and its proxy to the store.
pub struct Vm {
    pub caller_addr: SocketAddr,
    pub store_proxy: Proxy,
    seen_addrs: SeenAddrs,
    /// This VM's links to the servers, by name; used only if VMs are cut off.
    server_links: BTreeMap<String, Proxy>,
    /// What became of open connections in the cut that goes on.
    cut: Option<OpenConnections>,
    pub process: Option<Process>,
    /// Number of starts so far; a VM guarantees the order of configurations only within one start.
    pub starts: u64,
    /// Program of the VM; another build of it than this one's to run both side by side.
    pub program: PathBuf,
    /// Largest number of open files of the process, if not that of the test.
    pub max_files: Option<u32>,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    pub async fn new(name: &str, domain: &str, folder: &Path, store: &FakeStore, faults: FaultSet) -> Self {
        let listen: [SocketAddr; 4] = free_addrs().expect("loopback has free ports");
        let seen_addrs = SeenAddrs::default();
        let store_addr = store.serve(Arc::clone(&seen_addrs)).await;
        let store_proxy = Proxy::start(store_addr).await;
        let path = folder.join(format!("{name}.yaml"));
        let mut text = settings(name, domain, listen, store_proxy.addr());
        if faults == FaultSet::CutVms {
            text = with_own_region(&text, name, domain);
        }
        std::fs::write(&path, text).expect("the folder can be written");
        Self {
            caller_addr: listen[0],
            store_proxy,
            seen_addrs,
            server_links: BTreeMap::new(),
            cut: None,
            process: None,
            starts: 0,
            program: env!("CARGO_BIN_EXE_mangohook").into(),
            max_files: None,
            settings: path,
            log: folder.join(format!("{name}.log")),
        }
    }

    /// Puts a link of its own between this VM and the server `name`.
    pub async fn add_server(&mut self, name: &str, addr: SocketAddr) {
        let link = Proxy::start(addr).await;
        if self.cut.is_some() {
            link.set_down(true);
        }
        let mut seen_addrs = self.seen_addrs.lock().unwrap_or_else(PoisonError::into_inner);
        seen_addrs.insert(addr.to_string(), link.addr().to_string());
        self.server_links.insert(name.to_owned(), link);
    }

    /// Cuts this VM off from all servers, or ends the cut.
    pub fn set_cut(&mut self, cut: Option<OpenConnections>) {
        self.cut = cut;
        for link in self.server_links.values() {
            link.set_down(cut.is_some());
            if let Some(open @ (OpenConnections::Reset | OpenConnections::Stalled)) = cut {
                link.set_open_connections(open);
            }
        }
    }

    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let mut command = Command::new("sh");
        let limit = self
            .max_files
            .map_or(String::new(), |count| format!("ulimit -n {count}; "));
        command
            .args(["-c", &format!("{limit}exec \"$@\""), "sh"])
            .arg(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a descriptor is free"))
            .stdout(log);
        self.process = Some(Process::start(&mut command).expect("the program is built"));
        self.starts += 1;
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Ignores errors, because the process may already have exited.
            let _ = process.kill();
        }
    }
}
