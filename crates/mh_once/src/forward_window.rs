use std::collections::HashMap;

use mh_types::{Incarnation, VmName};

use crate::forward_id::ForwardId;

/// Number of most recent serial numbers tracked per sender; an older request is treated as a duplicate.
pub const FORWARD_WINDOW_SERIALS: u64 = 4096;

/// Length of the `seen` bitmap in 64-bit words.
const SEEN_WORDS: usize = (FORWARD_WINDOW_SERIALS / 64) as usize;

/// Sliding window that admits each forwarded request at most once, in bounded memory.
///
/// Without it, a delayed duplicate of a request that was refused as not run could still run. A request that is not
/// admitted is refused with [`Code::OperationUnresolved`](mh_types::Code::OperationUnresolved) and
/// [`Run::Unknown`](mh_types::Run::Unknown).
#[derive(Debug)]
pub struct ForwardWindow {
    max_senders: usize,
    senders: HashMap<VmName, SenderWindow>,
}

impl ForwardWindow {
    /// Creates a window for at most `max_senders` VMs, which take about 600 bytes each.
    pub fn new(max_senders: usize) -> Self {
        Self {
            max_senders,
            senders: HashMap::new(),
        }
    }

    /// Returns true if the request has not been seen before, and marks it as seen.
    ///
    /// Also returns false where the window cannot tell: for requests older than the window, from an earlier incarnation
    /// of the sender, or from a VM beyond `max_senders`.
    pub fn admit(&mut self, id: &ForwardId) -> bool {
        if let Some(sender) = self.senders.get_mut(&id.vm) {
            return sender.admit(id);
        }
        if self.senders.len() >= self.max_senders {
            return false;
        }
        self.senders
            .entry(id.vm.clone())
            .or_insert_with(|| SenderWindow::new(id.incarnation))
            .admit(id)
    }

    /// Removes a VM whose messages can no longer arrive: the platform has listed it as gone for longer than the list's
    /// maximum delay.
    pub fn remove_sender(&mut self, vm: &VmName) {
        self.senders.remove(vm);
    }
}

#[derive(Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    /// One more than the highest admitted serial number. Lower numbers are in the window if they are at most
    /// `FORWARD_WINDOW_SERIALS` below it; older ones are rejected.
    next: u64,
    seen: [u64; SEEN_WORDS],
}

impl SenderWindow {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next: 0,
            seen: [0; SEEN_WORDS],
        }
    }

    fn admit(&mut self, id: &ForwardId) -> bool {
        if id.incarnation > self.incarnation {
            *self = Self::new(id.incarnation);
        }
        if id.incarnation < self.incarnation || id.serial == u64::MAX {
            return false;
        }
        if id.serial >= self.next {
            let skipped = (id.serial - self.next).min(FORWARD_WINDOW_SERIALS);
            (self.next..self.next + skipped).for_each(|serial| self.set(serial, false));
            self.next = id.serial + 1;
        } else if self.next - id.serial > FORWARD_WINDOW_SERIALS || self.is_seen(id.serial) {
            return false;
        }
        self.set(id.serial, true);
        true
    }

    fn is_seen(&self, serial: u64) -> bool {
        self.seen[word_index(serial)] & bit_mask(serial) != 0
    }

    fn set(&mut self, serial: u64, seen: bool) {
        if seen {
            self.seen[word_index(serial)] |= bit_mask(serial);
        } else {
            self.seen[word_index(serial)] &= !bit_mask(serial);
        }
    }
}

fn word_index(serial: u64) -> usize {
    (serial % FORWARD_WINDOW_SERIALS / 64) as usize
}

fn bit_mask(serial: u64) -> u64 {
    1 << (serial % 64)
}
