use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use mh_platform::{ListedVm, VmState};

use crate::{Caller, Process, free_addrs};

/// Longest wait for a process to answer; a healthy one takes a fraction of it.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);
/// Tries to find three free ports.
const PORT_TRIES: u32 = 5;

/// A VM's process, ended when dropped.
#[derive(Debug)]
pub struct VmProcess {
    process: Process,
    listed: ListedVm,
    settings: PathBuf,
    log: PathBuf,
}

impl VmProcess {
    /// Starts `binary` as the VM `name` and waits until its admin port answers.
    ///
    /// `extra` is added to the settings file, which is written into `folder`.
    ///
    /// # Errors
    ///
    /// What kept the process from starting.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        name: &str,
        (domain, region): (&str, &str),
        platform: SocketAddr,
        extra: &str,
    ) -> Result<Self, String> {
        let mut last = String::new();
        for _ in 0..PORT_TRIES {
            let [caller, peer, admin] = free_addrs().map_err(|e| e.to_string())?;
            let text = format!(
                "vm: {name}\ndomain: {domain}\nregion: {region}\n\
                 listen: {{caller: \"{caller}\", peer: \"{peer}\", admin: \"{admin}\"}}\n\
                 platform: {{table: \"{platform}\", objects: \"{platform}\", vms: \"{platform}\"}}\n{extra}"
            );
            let settings = folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, text).map_err(|e| e.to_string())?;
            let log = folder.join(format!("{name}.log"));
            let mut command = Command::new(binary);
            command
                .args(["run", "--settings"])
                .arg(&settings)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(std::fs::File::create(&log).map_err(|e| e.to_string())?);
            let process = Process::start(&mut command).map_err(|e| e.to_string())?;
            let listed = ListedVm {
                name: name.into(),
                domain: domain.into(),
                region: region.into(),
                state: VmState::Live,
                caller,
                peer,
                admin,
            };
            let mut vm = Self {
                process,
                listed,
                settings,
                log,
            };
            match vm.wait_ready().await {
                Ok(()) => return Ok(vm),
                // Another process may have taken a port in between.
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    async fn wait_ready(&mut self) -> Result<(), String> {
        let caller = Caller::new(None);
        let mut waited = Duration::ZERO;
        while waited < PATIENCE {
            if let Ok(Some(status)) = self.process.ended() {
                return Err(format!("{} ended with {status}", self.listed.name));
            }
            let status = caller.get(self.listed.admin, "/v1/status").await;
            let is_own = status.is_ok_and(|status| status.json()["vm"] == self.listed.name.as_str());
            if is_own && matches!(self.process.ended(), Ok(None)) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
            waited += POLL;
        }
        Err(format!("{} does not answer", self.listed.name))
    }

    /// The VM as the platform lists it.
    pub fn listed(&self) -> &ListedVm {
        &self.listed
    }

    /// Path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Log lines that the process has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process, which gets signals.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// The process, to be ended or waited for.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}
