use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use mh_platform::{ListedVm, VmState};

use crate::{Caller, Process, free_addrs};

/// Maximum time to wait until a process responds; a healthy process takes a fraction of it.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to start the process, each with three new free ports.
const MAX_START_ATTEMPTS: u32 = 5;

/// Process of a VM; killed when dropped.
#[derive(Debug)]
pub struct VmProcess {
    process: Process,
    listed: ListedVm,
    settings_path: PathBuf,
    log_path: PathBuf,
}

impl VmProcess {
    /// Starts `binary` as the VM `name` and waits until its admin port responds.
    ///
    /// `extra_settings` is appended to the settings file, which is written to `dir`.
    ///
    /// # Errors
    ///
    /// The message of the last error that kept the process from starting.
    pub async fn start(
        binary: &Path,
        dir: &Path,
        name: &str,
        (domain, region): (&str, &str),
        platform: SocketAddr,
        extra_settings: &str,
    ) -> Result<Self, String> {
        let mut last_error = String::new();
        for _ in 0..MAX_START_ATTEMPTS {
            let [caller, peer, admin] = free_addrs().map_err(|e| e.to_string())?;
            let text = format!(
                "vm: {name}\ndomain: {domain}\nregion: {region}\n\
                 listen: {{caller: \"{caller}\", peer: \"{peer}\", admin: \"{admin}\"}}\n\
                 platform: {{table: \"{platform}\", objects: \"{platform}\", vms: \"{platform}\"}}\n{extra_settings}"
            );
            let settings_path = dir.join(format!("{name}.yaml"));
            std::fs::write(&settings_path, text).map_err(|e| e.to_string())?;
            let log_path = dir.join(format!("{name}.log"));
            let mut command = Command::new(binary);
            command
                .args(["run", "--settings"])
                .arg(&settings_path)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(std::fs::File::create(&log_path).map_err(|e| e.to_string())?);
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
                settings_path,
                log_path,
            };
            match vm.wait_ready().await {
                Ok(()) => return Ok(vm),
                // Another process may have bound one of the ports in the meantime.
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Waits until the admin port responds with the status of this VM.
    async fn wait_ready(&mut self) -> Result<(), String> {
        let caller = Caller::new(None);
        let mut waited = Duration::ZERO;
        while waited < READY_TIMEOUT {
            if let Ok(Some(status)) = self.process.exit_status() {
                return Err(format!("{} ended with {status}", self.listed.name));
            }
            let status = caller.get(self.listed.admin, "/v1/status").await;
            let is_this_vm = status.is_ok_and(|status| status.json()["vm"] == self.listed.name.as_str());
            if is_this_vm && matches!(self.process.exit_status(), Ok(None)) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        Err(format!("{} does not answer", self.listed.name))
    }

    /// Returns the VM's entry for the platform's list of VMs.
    pub fn list_entry(&self) -> &ListedVm {
        &self.listed
    }

    /// Returns the path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings_path
    }

    /// Returns the log that the process has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the process, for example to send signals.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the process, for example to kill it or to wait for its exit.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}
