//! Gateway VMs as separate processes.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// The program and the arguments of the deploy file, but for the path of the settings.
const RUN: (&str, [&str; 2]) = ("target/release/mangohook", ["gateway", "--settings"]);

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    listener.local_addr().expect("a bound address")
}

impl Vm {
    /// Writes the settings as the template of the deploy file gives them. `regions` holds each zone with its region.
    pub fn new(folder: &Path, name: &str, zone: &str, regions: &[(&str, &str)], store: SocketAddr) -> Self {
        let (callers, health, lookups, peers) = (free_addr(), free_addr(), free_addr(), free_addr());
        let region = regions.iter().find(|(z, _)| *z == zone).expect("a known zone").1;
        let map: Vec<String> = regions.iter().map(|(z, r)| format!("\"{z}\":\"{r}\"")).collect();
        let text = format!(
            "vm: \"{name}\"\ndomain: \"{zone}\"\nregion: \"{region}\"\nregions: {{{}}}\nlisten:\n  callers: \"{callers}\"\n  \
             health: \"{health}\"\n  lookups: \"{lookups}\"\n  peers: \"{peers}\"\nthreads: 1\ndescriptors: 4100\n\
             memory_mb: 260\nfirst_start: true\npromises:\n  shutdown_grace: 6s\n  lookup_lifetime: 5s\n  settle: 3000ms\n  \
             retry_ratio: 0.2\n  retry_slack: 60\n  retry_window: 10s\n  settings_in_force: 2000ms\n  exposure_share: 0.1\n\
             platform:\n  address: \"{store}\"\n",
            map.join(",")
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        Self {
            name: name.to_owned(),
            callers,
            health,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// `first_start` is true only when the whole system starts for the first time.
    pub fn set_first_start(&self, first_start: bool) {
        let text = std::fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("first_start: true", &format!("first_start: {first_start}"));
        std::fs::write(&self.settings, text).expect("the folder can be written");
    }

    pub fn start(&mut self) -> bool {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let child = Command::new(RUN.0)
            .args(RUN.1)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a descriptor is free"))
            .stdout(log)
            .spawn();
        self.child = child.ok();
        self.child.is_some()
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was started here and is not waited for yet, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended; returns whether it has within `limit`.
    pub fn has_ended(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            let status = self.child.as_mut().map(Child::try_wait);
            if !matches!(status, Some(Ok(None))) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the VM says that it is ready.
    pub fn is_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let head = format!(
                "GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                self.health
            );
            let answer = http::call(self.health, &head, b"", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
