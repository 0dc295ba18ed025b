use mh_types::VmName;
use serde::{Deserialize, Serialize};

/// Request or response carried by a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    Ping {
        /// Returned in the [`Body::Ack`].
        nonce: u64,
    },
    /// Answers a ping.
    Ack {
        /// Nonce of the ping.
        nonce: u64,
    },
    /// Requests that the receiver probes `target` and answers with a [`Body::Report`].
    Probe {
        /// Returned in the [`Body::Report`].
        nonce: u64,
        /// The VM that did not answer the sender.
        target: VmName,
    },
    /// Answers a [`Body::Probe`] with the result of the probe.
    Report {
        /// Nonce of the [`Body::Probe`].
        nonce: u64,
        /// Whether the target answered the sender.
        reached: bool,
    },
    /// Requests the records of a domain that differ from `entries`, among the ring keys from `low` to `high`.
    Ask {
        /// Hash of the domain name.
        domain: u32,
        /// Lowest ring key, inclusive.
        low: u64,
        /// Highest ring key, inclusive.
        high: u64,
        /// Low 32 bits of the ring key, and the digest, of each record that the sender holds in this range.
        entries: Vec<(u32, u32)>,
    },
    /// Carries records only and requires no answer.
    Delta,
}
