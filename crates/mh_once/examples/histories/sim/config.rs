/// Kinds of faults injected into a history.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is on or off by itself")]
pub struct Faults {
    /// VMs are killed and restart under the same name.
    pub kill: bool,
    /// VMs are paused, some with a clock reading taken before the pause.
    pub pause: bool,
    /// Forwarded operations and their replies are lost, duplicated or late.
    pub forward: bool,
    /// The platform table is down, slow, or applies a write whose reply is lost.
    pub table: bool,
    /// The backend runs a request late or not at all, or its answer is lost.
    pub backend: bool,
    /// Callers disconnect while their request is in progress.
    pub caller: bool,
}

impl Faults {
    pub const NONE: Self = Self {
        kill: false,
        pause: false,
        forward: false,
        table: false,
        backend: false,
        caller: false,
    };
    pub const ALL: Self = Self {
        kill: true,
        pause: true,
        forward: true,
        table: true,
        backend: true,
        caller: true,
    };
}

/// Configuration of one history.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub seed: u64,
    pub faults: Faults,
    /// Gives each VM separate memory, for comparison: it remembers only its own requests, and ids have no owner.
    pub separate_memory: bool,
    /// Uses small tables and short lifetimes, so that tables fill up and ids expire.
    pub small_limits: bool,
}

impl Config {
    pub fn all_faults(seed: u64) -> Self {
        Self {
            seed,
            faults: Faults::ALL,
            separate_memory: false,
            small_limits: true,
        }
    }
}
