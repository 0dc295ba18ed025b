use std::collections::VecDeque;

/// Failure domain of each backend server.
pub const DOMAINS: [usize; 13] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 5];

/// Slots of each backend server.
pub const SLOTS: [u32; 13] = [4, 5, 3, 4, 5, 4, 3, 4, 5, 4, 3, 4, 4];

/// Minimum work time of a request, to which an exponentially distributed part is added.
pub const MIN_WORK_US: f64 = 8_000.0;

/// Mean work time of a request.
pub const MEAN_WORK_US: f64 = 25_000.0;

/// Queued requests per slot from which on a server refuses further ones.
const QUEUE_PER_SLOT: usize = 6;

/// Server whose work takes `SLOW_FACTOR` times as long for the whole run.
const SLOW: usize = 3;
const SLOW_FACTOR: f64 = 4.0;

/// Server that starts cold at 10 s; its first `COLD_REQUESTS` requests take up to `COLD_FACTOR` times as long.
pub const COLD: usize = 7;
pub const COLD_START_US: u64 = 10_000_000;
const COLD_FACTOR: f64 = 5.0;
const COLD_REQUESTS: f64 = 600.0;

/// Server that from 15 to 25 s breaks four of five connections while it reports that it is healthy and idle.
pub const FALSE_REPORTER: usize = 0;
pub const FALSE_REPORT_US: std::ops::Range<u64> = 15_000_000..25_000_000;

/// Failure domain that cannot be reached from 30 to 45 s.
pub const UNREACHABLE_DOMAIN: usize = 4;
pub const UNREACHABLE_US: std::ops::Range<u64> = 30_000_000..45_000_000;

/// One backend server of the simulation.
#[derive(Default)]
pub struct Server {
    pub index: usize,
    pub busy: u32,
    pub waiting: VecDeque<usize>,
    pub served: u32,
}

impl Server {
    pub fn in_flight(&self) -> u32 {
        self.busy + self.waiting.len() as u32
    }

    pub fn is_full(&self) -> bool {
        self.waiting.len() >= QUEUE_PER_SLOT * SLOTS[self.index] as usize
    }

    pub fn is_unreachable(index: usize, at_us: u64) -> bool {
        DOMAINS[index] == UNREACHABLE_DOMAIN && UNREACHABLE_US.contains(&at_us)
    }

    /// Time that work of `work_us` takes at this server.
    pub fn duration_us(&mut self, work_us: u64) -> u64 {
        let factor = match self.index {
            SLOW => SLOW_FACTOR,
            COLD => 1.0 + (COLD_FACTOR - 1.0) * (1.0 - f64::from(self.served) / COLD_REQUESTS).max(0.0),
            _ => 1.0,
        };
        self.served += 1;
        (work_us as f64 * factor) as u64
    }
}
