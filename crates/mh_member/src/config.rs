use std::net::SocketAddr;
use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address at which peers reach this VM; distributed with its record.
    pub addr: Option<SocketAddr>,
    /// Time between two rounds of probes.
    pub probe_interval: Duration,
    /// Time for a probed VM to answer before other VMs are asked to probe it.
    pub probe_timeout: Duration,
    /// Time for the indirect probers to report; more than `probe_timeout`, which they wait themselves.
    pub indirect_timeout: Duration,
    /// Time for a suspected VM to refute the suspicion before it is considered dead.
    pub suspicion_timeout: Duration,
    /// Time without a sign of life from a whole failure domain after which its VMs are considered dead.
    pub domain_silence_timeout: Duration,
    /// Age of the local domain's heartbeat at which any VM of the domain advances it.
    pub heartbeat_takeover: Duration,
    /// Mean time between two pings to a random VM of another domain or to a dead VM.
    pub random_ping_interval: Duration,
    /// Time between two calls above which the local process is assumed to have been paused.
    pub pause_threshold: Duration,
    /// Maximum lag of the platform's VM list; a VM missing from it for longer is removed.
    pub list_lag: Duration,
    /// Time for which a removed VM, or a dead unlisted one, is remembered so that stale records do not add it again.
    pub tombstone_ttl: Duration,
    /// VMs of the local failure domain probed in each round.
    pub ring_probes: usize,
    /// Neighbouring failure domains that a delegate pings in each round, in addition to one random domain.
    pub neighbour_domains: usize,
    /// Number of VMs asked to probe a VM that did not answer.
    pub indirect_probers: usize,
    /// Maximum size of an encoded message, in bytes.
    pub max_msg_bytes: usize,
    /// Maximum number of [`Body::Ask`](crate::Body::Ask) messages sent in each round.
    pub max_asks: u32,
    /// Maximum number of [`Body::Ask`](crate::Body::Ask) messages answered in each round, with up to two messages each.
    pub max_ask_replies: u32,
    /// Pings answered in each round with summaries and gossip; further pings are answered without them.
    pub max_full_acks: u32,
    /// Maximum number of pings answered in each round. After a pause, many pings are queued whose answers are useless.
    pub max_acks: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addr: None,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(4),
            domain_silence_timeout: Duration::from_secs(10),
            heartbeat_takeover: Duration::from_secs(3),
            random_ping_interval: Duration::from_secs(5),
            pause_threshold: Duration::from_secs(2),
            list_lag: Duration::from_secs(30),
            tombstone_ttl: Duration::from_mins(5),
            ring_probes: 3,
            neighbour_domains: 2,
            indirect_probers: 3,
            max_msg_bytes: 1000,
            max_asks: 3,
            max_ask_replies: 4,
            max_full_acks: 12,
            max_acks: 40,
        }
    }
}
