use std::collections::HashMap;
use std::time::Duration;

use mh_types::VmName;
use tokio::time::Instant;

/// Time without messages after which a sender may be forgotten, or may have a smaller incarnation.
const RETENTION: Duration = Duration::from_secs(10);

/// Most senders, which bounds the memory; a message of one more is ignored until another is forgotten.
const MAX_SENDERS: usize = 4_096;

/// Largest drift between the monotonic clocks of two VMs.
const MAX_DRIFT_PPM: u64 = 100;

/// Clocks of the VMs that send load reports, which give a delayed or repeated message its true age.
///
/// A message carries the sender's monotonic time. The smallest difference to this VM's clock belongs to the message with
/// the shortest delay; a message with a larger one was under way for longer.
#[derive(Debug)]
pub struct ReportClocks {
    epoch: Instant,
    senders: HashMap<VmName, SenderClock>,
}

#[derive(Debug)]
struct SenderClock {
    run: u64,
    /// Smallest difference of the clocks, in microseconds.
    offset_us: i128,
    heard_at: Instant,
}

impl ReportClocks {
    /// Creates the clocks of a VM that has heard nobody.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            senders: HashMap::new(),
        }
    }

    /// Returns how long ago `from` sent a message with its clock at `sent_ms`, less the shortest delay; `None` if the
    /// message is of an earlier `run` of the sender's process.
    pub fn age(&mut self, now: Instant, from: &VmName, run: u64, sent_ms: u64) -> Option<Duration> {
        let difference_us =
            now.saturating_duration_since(self.epoch).as_micros().cast_signed() - i128::from(sent_ms) * 1000;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(from) {
            self.senders
                .retain(|_, sender| now.saturating_duration_since(sender.heard_at) < RETENTION);
            if self.senders.len() >= MAX_SENDERS {
                return None;
            }
        }
        let fresh = || SenderClock {
            run,
            offset_us: difference_us,
            heard_at: now,
        };
        let sender = self.senders.entry(from.clone()).or_insert_with(fresh);
        let silence = now.saturating_duration_since(sender.heard_at);
        // An incarnation may be smaller than the one before if the wall clock of its machine was set back.
        if run > sender.run || (run < sender.run && silence >= RETENTION) {
            *sender = fresh();
        } else if run < sender.run {
            return None;
        }
        let drift_us = silence.as_micros().cast_signed() * i128::from(MAX_DRIFT_PPM) / 1_000_000;
        sender.offset_us = difference_us.min(sender.offset_us + drift_us);
        sender.heard_at = now;
        u64::try_from(difference_us - sender.offset_us)
            .ok()
            .map(Duration::from_micros)
    }
}
