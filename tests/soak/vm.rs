//! A gateway VM of the soak test.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use mh_standin::{Process, free_addrs};

use super::operator::settings;
use super::proxy::Proxy;

/// A gateway VM: its process, if it runs, and its proxy to the store.
pub struct Vm {
    pub caller_addr: SocketAddr,
    pub store_proxy: Proxy,
    pub process: Option<Process>,
    /// Number of starts so far; a VM guarantees the order of configurations only within one start.
    pub starts: u64,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    pub async fn new(name: &str, domain: &str, folder: &Path, store_addr: SocketAddr) -> Self {
        let listen: [SocketAddr; 4] = free_addrs().expect("loopback has free ports");
        let store_proxy = Proxy::start(store_addr).await;
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings(name, domain, listen, store_proxy.addr())).expect("the folder can be written");
        Self {
            caller_addr: listen[0],
            store_proxy,
            process: None,
            starts: 0,
            settings: path,
            log: folder.join(format!("{name}.log")),
        }
    }

    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_mangohook"));
        command
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
