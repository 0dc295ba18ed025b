use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_lookup::zonal::ZonalVm;
use mh_types::{Event, VmName, emit};
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use super::Datagram;
use crate::node::GatewayNode;
use crate::{AnnouncedVm, GatewaySettings, LookupMode};

/// VMs that each report is sent to. It bounds a VM's traffic regardless of the region's size.
const REPORT_FAN_OUT: usize = 12;

/// Age at which a report is forgotten: in a region of 107 VMs each VM hears each other within 9 s, and messages may be lost.
const REPORT_AGE: Duration = Duration::from_secs(30);

/// Weight of a new sample of the spare capacity, so that a burst of a second does not move callers.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Link that takes as many requests as one core, in Mbit/s. It is assumed, not measured: 3 KB each way and 0.25 ms of a core
/// for a request.
const MBIT_PER_CORE: f64 = 100.0;

/// Scale of transmitted sizes, in thousandths of a core.
const SIZE_SCALE: f64 = 1000.0;

/// Change of the spare capacity that is logged.
const NOTABLE_CHANGE: f64 = 0.3;

/// Size and spare capacity of this VM, as measured, and of other VMs, as told.
#[derive(Debug)]
pub(crate) struct Capacities {
    size: f64,
    cores: Option<f64>,
    link_mbps: Option<f64>,
    descriptors: usize,
    measured: Option<Measured>,
    spare: f64,
    logged_spare: f64,
    told: HashMap<VmName, (Instant, u32, u8)>,
    rounds: usize,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    at: Instant,
    cpu: Duration,
    bytes: u64,
}

impl Capacities {
    pub(crate) fn new(cfg: &GatewaySettings) -> Self {
        let by_link = cfg.link_mbps.map(|mbps| mbps / MBIT_PER_CORE);
        let size = [cfg.cpu_share, by_link].into_iter().flatten().reduce(f64::min);
        Self {
            size: size.unwrap_or(1.0).max(1.0 / SIZE_SCALE),
            cores: cfg.cpu_share,
            link_mbps: cfg.link_mbps,
            descriptors: cfg.descriptors,
            measured: None,
            spare: 1.0,
            logged_spare: 1.0,
            told: HashMap::new(),
            rounds: 0,
        }
    }

    /// Unused fraction of the scarcest resource of this VM.
    pub(crate) fn spare(&self) -> f64 {
        self.spare
    }

    /// Size of this VM.
    pub(crate) fn size(&self) -> f64 {
        self.size
    }

    /// Updates the spare capacity from the processor time and the link bytes used since the start, and from the open
    /// descriptors.
    fn measure(&mut self, at: Instant, cpu: Duration, bytes: u64, open: usize, is_cut_off: bool) {
        let before = self.measured.replace(Measured { at, cpu, bytes });
        let Some(before) = before.filter(|before| before.at < at) else {
            return;
        };
        let seconds = (at - before.at).as_secs_f64();
        let cpu = cpu.saturating_sub(before.cpu).as_secs_f64() / seconds;
        let mbps = bytes.saturating_sub(before.bytes) as f64 * 8.0 / 1e6 / seconds;
        let used = [
            self.cores.map_or(0.0, |cores| cpu / cores),
            self.link_mbps.map_or(0.0, |link| mbps / link),
            open as f64 / self.descriptors.max(1) as f64,
            f64::from(u8::from(is_cut_off)),
        ];
        let spare = 1.0 - used.into_iter().fold(0.0, f64::max).clamp(0.0, 1.0);
        self.spare += (spare - self.spare) * SAMPLE_WEIGHT;
    }

    /// Returns the size and spare capacity of a VM as last told; size 0 if it has not told any.
    fn of(&self, vm: &VmName) -> (f64, f64) {
        self.told.get(vm).map_or((0.0, 1.0), |(_, size, spare)| {
            (f64::from(*size) / SIZE_SCALE, f64::from(*spare) / 255.0)
        })
    }
}

impl GatewayNode {
    /// Measures the spare capacity and tells it to a few VMs of the region, to different ones each second.
    pub(crate) fn send_capacity(&self, now: Instant) {
        if self.cfg.lookups != LookupMode::Domain {
            return;
        }
        let cpu = clock_gettime(ClockId::ProcessCPUTime);
        let cpu = Duration::new(
            cpu.tv_sec.try_into().unwrap_or_default(),
            cpu.tv_nsec.try_into().unwrap_or_default(),
        );
        let bytes = self.gateway.counters().caller_bytes.load(Ordering::Relaxed);
        // Only Linux lists the descriptors of a process here; without the list they do not limit look-ups.
        let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let is_cut_off = self.gateway.paths().is_cut_off();
        let (msg, round) = {
            let mut capacities = self.capacities.lock();
            capacities.measure(now, cpu, bytes, open, is_cut_off);
            capacities.told.retain(|_, (at, ..)| now < *at + REPORT_AGE);
            capacities.rounds = capacities.rounds.wrapping_add(1);
            if (capacities.spare - capacities.logged_spare).abs() >= NOTABLE_CHANGE {
                capacities.logged_spare = capacities.spare;
                emit!(
                    Event::SpareCapacityChanged,
                    spare = format_args!("{:.2}", capacities.spare)
                );
            }
            let msg = Datagram::Capacity {
                size: (capacities.size * SIZE_SCALE) as u32,
                spare: (capacities.spare * 255.0) as u8,
            };
            (msg, capacities.rounds)
        };
        let peers = self.relay.peers();
        let from = (round * REPORT_FAN_OUT) % peers.len().max(1);
        let chosen = peers.iter().cycle().skip(from).take(REPORT_FAN_OUT.min(peers.len()));
        for vm in chosen {
            if let Some(addr) = self.peer_addr(vm) {
                self.send_to(addr, &msg);
            }
        }
    }

    /// Handles the size and spare capacity of another VM.
    pub(crate) fn on_capacity(&self, from: &VmName, size: u32, spare: u8, now: Instant) {
        // Without the entry, any sender could make this VM keep memory for it.
        if self.cfg.lookups == LookupMode::Domain && self.control.lock().deployment.vm(from).is_some() {
            self.capacities.lock().told.insert(from.clone(), (now, size, spare));
        }
    }

    /// Sets the VMs that look-ups by failure domain return.
    pub(crate) fn set_lookup_vms<'a>(&self, vms: impl Iterator<Item = &'a AnnouncedVm>) {
        let capacities = self.capacities.lock();
        let mut vms: Vec<ZonalVm> = vms
            .map(|vm| {
                let (size, spare) = if vm.vm == self.cfg.vm {
                    (capacities.size, capacities.spare)
                } else {
                    capacities.of(&vm.vm)
                };
                ZonalVm {
                    addr: vm.callers,
                    region: vm.region.clone(),
                    domain: vm.domain.clone(),
                    size,
                    spare,
                }
            })
            .collect();
        drop(capacities);
        // VMs that have told no size are taken for average ones.
        let told = vms.iter().filter(|vm| vm.size > 0.0);
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), vm| (sum + vm.size, count + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        for vm in vms.iter_mut().filter(|vm| vm.size <= 0.0) {
            vm.size = mean;
        }
        self.lookup_vms.store(Arc::new(vms));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/capacity_reports.rs"]
mod tests;
