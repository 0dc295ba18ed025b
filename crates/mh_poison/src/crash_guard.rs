use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use mh_types::VmName;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::record::Record;
use crate::{AnsweredTable, Fingerprint, Msg, QuarantineEntry, ServerRun};

/// Most records of one VM. When all servers of a service crash at once, a VM loses some hundred requests.
const MAX_RECORDS: usize = 2048;

/// VMs that count the crashes of one request. Each counts by itself, so the loss of one delays nothing.
const COUNTING_VMS: usize = 3;

/// Entries or fingerprints per message, so that a message fits one packet.
const MAX_ITEMS_PER_MSG: usize = 32;

/// Other VMs that are told of current quarantines per round; VMs that have started learn of them in this way.
const VMS_PER_ROUND: usize = 2;

/// Messages to other VMs.
pub type Outbox = Vec<(VmName, Msg)>;

/// The refusal of a request that is in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Time until the request may be sent again.
    pub retry_after: Duration,
}

/// Decides which requests crash servers and may not be sent, for one VM.
#[derive(Debug)]
pub struct CrashGuard {
    own_vm: VmName,
    /// Live VMs, in order of their names.
    vms: Vec<VmName>,
    records: HashMap<Fingerprint, Record>,
    /// Quarantines that this VM began since the last call of [`take_begun`](Self::take_begun).
    begun: Vec<QuarantineEntry>,
}

impl CrashGuard {
    /// Creates the guard of the VM `own_vm`, which knows no other VM.
    pub fn new(own_vm: VmName) -> Self {
        Self {
            vms: vec![own_vm.clone()],
            own_vm,
            records: HashMap::new(),
            begun: Vec::new(),
        }
    }

    /// Returns whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sets the live VMs, this one included.
    pub fn set_vms(&mut self, mut vms: Vec<VmName>) {
        vms.sort_unstable();
        self.vms = vms;
    }

    /// Decides whether a request may be sent to a server.
    ///
    /// # Errors
    ///
    /// [`Quarantined`] if it may not be sent now.
    pub fn admit(&self, now: Instant, fingerprint: &Fingerprint) -> Result<(), Quarantined> {
        let remaining = self.records.get(fingerprint).and_then(|record| record.remaining(now));
        remaining.map_or(Ok(()), |retry_after| Err(Quarantined { retry_after }))
    }

    /// Returns whether a request that was lost may be sent to another server for the same attempt of its caller.
    pub fn may_retry(&self, fingerprint: &Fingerprint) -> bool {
        self.records.get(fingerprint).is_none_or(Record::allows_retry)
    }

    /// Records that this VM lost the requests `lost` in the crash of a server; returns the reports to other VMs.
    ///
    /// If earlier crashes point to some of the requests, only those are held responsible.
    pub fn on_crash(
        &mut self,
        now: Instant,
        server: ServerRun,
        lost: &[Fingerprint],
        answered: &AnsweredTable,
    ) -> Outbox {
        let suspicion = |fingerprint: &Fingerprint| self.records.get(fingerprint).map_or(0, Record::suspicion);
        let highest = lost.iter().map(suspicion).max().unwrap_or_default();
        let suspects: SmallVec<[Fingerprint; 4]> = lost
            .iter()
            .filter(|fingerprint| suspicion(fingerprint) == highest)
            .copied()
            .collect();
        let mut reports: HashMap<VmName, SmallVec<[Fingerprint; 4]>> = HashMap::new();
        let mut out = Outbox::new();
        for fingerprint in suspects {
            for vm in self.counting_vms(&fingerprint) {
                reports.entry(vm).or_default().push(fingerprint);
            }
            out.extend(self.count_crash(now, server, fingerprint, answered));
        }
        for (vm, lost) in reports.into_iter().filter(|(vm, _)| *vm != self.own_vm) {
            let batches = lost.chunks(MAX_ITEMS_PER_MSG);
            out.extend(batches.map(|lost| {
                let lost = lost.iter().copied().collect();
                (vm.clone(), Msg::Crash { server, lost })
            }));
        }
        out
    }

    /// Records that a server answered a request; returns the messages to other VMs.
    pub fn on_answer(&mut self, fingerprint: &Fingerprint) -> Outbox {
        let Some(record) = self.records.remove(fingerprint) else {
            return Outbox::new();
        };
        let msg = Msg::Cleared(SmallVec::from_slice(&[*fingerprint]));
        if record.count > 0 {
            return self.broadcast(&msg);
        }
        let counting = self.counting_vms(fingerprint).into_iter();
        let others = counting.filter(|vm| *vm != self.own_vm);
        others.map(|vm| (vm, msg.clone())).collect()
    }

    /// Handles a message of another VM; returns the messages to other VMs.
    pub fn on_msg(&mut self, now: Instant, msg: Msg, answered: &AnsweredTable) -> Outbox {
        match msg {
            Msg::Crash { server, lost } => {
                let lost = lost.into_iter().take(MAX_ITEMS_PER_MSG);
                lost.flat_map(|fingerprint| self.count_crash(now, server, fingerprint, answered))
                    .collect()
            }
            Msg::Quarantine(entries) => {
                let mut cleared = SmallVec::new();
                for entry in entries.iter().take(MAX_ITEMS_PER_MSG) {
                    let next = Record::from_entry(now, entry);
                    if answered.is_answered_since(next.first_crash_at, &entry.fingerprint) {
                        self.records.remove(&entry.fingerprint);
                        cleared.push(entry.fingerprint);
                    } else {
                        self.adopt(now, entry.fingerprint, next);
                    }
                }
                if cleared.is_empty() {
                    return Outbox::new();
                }
                self.broadcast(&Msg::Cleared(cleared))
            }
            Msg::Cleared(fingerprints) => {
                for fingerprint in fingerprints.iter().take(MAX_ITEMS_PER_MSG) {
                    self.records.remove(fingerprint);
                }
                Outbox::new()
            }
        }
    }

    /// Forgets what has expired, and returns the messages of one round; `rnd` selects the VMs that are told.
    pub fn on_tick(&mut self, now: Instant, rnd: u64) -> Outbox {
        self.records.retain(|_, record| record.expires_at() > now);
        let entries = self.quarantined(now);
        let others: Vec<&VmName> = self.vms.iter().filter(|vm| **vm != self.own_vm).collect();
        if entries.is_empty() || others.is_empty() {
            return Outbox::new();
        }
        // A round tells of one batch; later rounds of the others.
        let batches: Vec<&[QuarantineEntry]> = entries.chunks(MAX_ITEMS_PER_MSG).collect();
        let batch = batches[rnd as usize % batches.len()];
        let msg = Msg::Quarantine(batch.iter().copied().collect());
        let start = (rnd >> 32) as usize;
        let told = (0..VMS_PER_ROUND.min(others.len())).map(|n| others[(start + n) % others.len()]);
        told.map(|vm| (vm.clone(), msg.clone())).collect()
    }

    /// Returns the requests in quarantine.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantineEntry> {
        let records = self.records.iter();
        let mut entries: Vec<_> = records
            .filter_map(|(fingerprint, record)| record.entry(now, *fingerprint))
            .collect();
        entries.sort_unstable_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Returns the quarantines that this VM began since the last call.
    pub fn take_begun(&mut self) -> Vec<QuarantineEntry> {
        std::mem::take(&mut self.begun)
    }

    /// Returns whether anything is known of the request.
    pub fn is_known(&self, fingerprint: &Fingerprint) -> bool {
        self.records.contains_key(fingerprint)
    }

    /// Returns the number of requests that are suspected or in quarantine.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    fn count_crash(
        &mut self,
        now: Instant,
        server: ServerRun,
        fingerprint: Fingerprint,
        answered: &AnsweredTable,
    ) -> Outbox {
        self.make_room(now, &fingerprint);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record::new(now));
        if answered.is_answered_since(record.first_crash_at, &fingerprint) {
            *record = Record::new(now);
        }
        if !record.on_crash(now, server) {
            return Outbox::new();
        }
        let entry = record.entry(now, fingerprint);
        self.begun.extend(entry);
        self.broadcast(&Msg::Quarantine(entry.into_iter().collect()))
    }

    fn adopt(&mut self, now: Instant, fingerprint: Fingerprint, next: Record) {
        self.make_room(now, &fingerprint);
        let is_longer = |held: &Record| next.quarantined_until > held.quarantined_until;
        match self.records.get_mut(&fingerprint) {
            Some(held) if !is_longer(held) => {}
            _ => drop(self.records.insert(fingerprint, next)),
        }
    }

    /// Makes room for a record: if there is none, drops the quarter of the records that are the least use.
    fn make_room(&mut self, now: Instant, fingerprint: &Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(fingerprint) {
            return;
        }
        let usefulness = |record: &Record| (record.remaining(now), record.suspicion(), record.last_crash_at);
        let mut ranked: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| (usefulness(record), *key))
            .collect();
        ranked.sort_unstable();
        for (_, key) in ranked.into_iter().take(MAX_RECORDS / 4) {
            self.records.remove(&key);
        }
    }

    fn broadcast(&self, msg: &Msg) -> Outbox {
        let others = self.vms.iter().filter(|vm| **vm != self.own_vm);
        others.map(|vm| (vm.clone(), msg.clone())).collect()
    }

    /// Returns the VMs that count the crashes of a request, by rendezvous hashing.
    fn counting_vms(&self, fingerprint: &Fingerprint) -> SmallVec<[VmName; COUNTING_VMS]> {
        let weight = |vm: &VmName| {
            let mut hasher = SipHasher13::new();
            hasher.write_u64(fingerprint.bits());
            hasher.write(vm.as_str().as_bytes());
            hasher.finish()
        };
        let mut ranked: Vec<(u64, &VmName)> = self.vms.iter().map(|vm| (weight(vm), vm)).collect();
        let count = COUNTING_VMS.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        }
        ranked[..count].iter().map(|(_, vm)| (*vm).clone()).collect()
    }
}
