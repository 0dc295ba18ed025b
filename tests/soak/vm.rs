use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use mh_standin::{Process, free_addrs};

use super::operator::settings;
use super::proxy::Proxy;

/// A gateway VM: its process, which may be down, and its way to the store.
pub struct Vm {
    pub callers: SocketAddr,
    pub store: Proxy,
    pub process: Option<Process>,
    /// Starts so far; what a VM promises about order holds for one of them.
    pub starts: u64,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    pub async fn new(name: &str, domain: &str, folder: &Path, store: SocketAddr) -> Self {
        let listen: [SocketAddr; 4] = free_addrs().expect("loopback has free ports");
        let store = Proxy::start(store).await;
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings(name, domain, listen, store.addr())).expect("the folder can be written");
        Self {
            callers: listen[0],
            store,
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
            // It may have ended by itself.
            let _ = process.kill();
        }
    }
}
