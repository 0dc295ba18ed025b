use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use mh_once::prelude::*;
use mh_once::{ClaimLimits, ForwardIdGenerator, ForwardWindow, RowKey};
use mh_types::{Code, Incarnation, Run, VmName};
use tokio::time::Instant;

/// Destination of the reply to a request.
#[derive(Clone, Copy, Debug)]
pub enum ReplyTo {
    Caller,
    Vm { vm: usize, incarnation: u64, call: u64 },
}

/// A caller's request as received by a VM.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub attempt: usize,
    pub reply_to: ReplyTo,
}

#[derive(Clone, Debug)]
pub enum Reply {
    Answer(Bytes),
    Refuse(Code, Run),
}

/// State of one incarnation of a VM's process, dropped when the VM is killed.
pub struct Process {
    pub owner: Owner,
    pub table: OpTable,
    pub issuer: OpIdIssuer,
    pub batcher: ClaimBatcher,
    pub window: ForwardWindow,
    pub forward_ids: HashMap<usize, ForwardIdGenerator>,
    pub ready: HashMap<u64, (Attempt<Ready>, Request)>,
    pub in_flight: HashMap<u64, (Attempt<InFlight>, Request)>,
    pub waiting: Vec<(Waiter, Request)>,
    pub claims: HashMap<RowKey, Vec<Request>>,
    pub calls: HashMap<u64, Request>,
    /// Operations received while VMs have separate memory, with their answers.
    pub separate_memory: HashMap<usize, Option<Bytes>>,
}

impl Process {
    pub fn new(vm: usize, incarnation: u64, now: Instant, limits: TableLimits) -> Self {
        let owner = Owner::new(VmName::from(format!("vm-{vm}")), Incarnation(incarnation), now);
        let claim_limits = ClaimLimits {
            write_interval: Duration::from_millis(20),
            max_batch: 4,
            max_pending: 12,
            max_wait: Duration::from_millis(300),
        };
        Self {
            table: OpTable::new(owner.clone(), limits),
            issuer: OpIdIssuer::new(owner.clone()),
            batcher: ClaimBatcher::new(owner.clone(), claim_limits, now),
            owner,
            window: ForwardWindow::new(16),
            forward_ids: HashMap::new(),
            ready: HashMap::new(),
            in_flight: HashMap::new(),
            waiting: Vec::new(),
            claims: HashMap::new(),
            calls: HashMap::new(),
            separate_memory: HashMap::new(),
        }
    }
}

pub struct Vm {
    pub incarnation: u64,
    pub paused_until: u64,
    pub process: Option<Process>,
}
