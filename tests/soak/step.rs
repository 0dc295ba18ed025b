//! Steps of the soak test and their random schedules.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::fake_store::Fault;
use super::proxy::{Link, OpenConnections};
use super::server::Behaviour;

/// Failure domains of the fixtures.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Time from SIGTERM until a process that is still running is killed, with a margin.
const STOP_TIME: Duration = Duration::from_millis(6500);

/// Time for which the entry of a server that crashed or is leaving stays in the store.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);

/// Limits that servers state; the last ones are malformed or cannot be met by any server.
const LIMITS: [&str; 9] = ["1", "2.5", "4", "7", "0.3", "0", "-2", "soon", "1e300"];

/// Which faults a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSet {
    /// Faults of processes, links, servers and the store, of VMs that share one region.
    All,
    /// VMs that are cut off from all servers, and a store that leaves calls unanswered. Each VM has links and a region
    /// of its own.
    CutVms,
}

/// An external event; VMs, servers and failure domains are identified by their index.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Kill(usize),
    Pause(usize),
    Resume(usize),
    Terminate(usize),
    /// Sends SIGHUP, on which a VM reloads its settings file.
    HangUp(usize),
    /// Starts a VM, after killing its process if that has not exited after SIGTERM.
    Start(usize),
    StoreLink(usize, Link),
    StoreOpenConnections(usize, OpenConnections),
    ServerLink(usize, Link),
    ServerOpenConnections(usize, OpenConnections),
    SetBehaviour(usize, Behaviour),
    /// Makes a server state this limit, or none.
    SetLimit(usize, Option<&'static str>),
    CrashServer(usize),
    /// Marks the entry of a server as leaving.
    MarkLeaving(usize),
    /// Replaces a server that crashed or left by a new one.
    ReplaceServer(usize),
    /// Starts an outage of the store, or ends it.
    StoreOutage(Option<Fault>),
    /// Restores the store from a copy of this age; operators and servers then write again what was lost.
    RestoreStore(Duration),
    /// Sends a request that crashes the servers that run it, with this number, to a VM.
    SendDeadly(usize, u64),
    /// Cuts a VM off from all servers, or ends the cut. New connections are refused; open ones change as given.
    CutOff(usize, Option<OpenConnections>),
    /// Publishes a new configuration, which withdraws a key and grants another.
    Configure,
    /// Starts or ends the drain of a failure domain.
    Drain(usize, bool),
}

/// A step and its time, relative to the start of its phase.
pub type TimedStep = (Duration, Step);

/// Overlapping unplanned faults and planned work in random order; each ends within the phase.
pub fn random_faults(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(8..20) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let end = at + Duration::from_millis(rng.random_range(200..4000));
        let (vm, server) = (rng.random_range(0..vms), rng.random_range(0..servers));
        // Faults in server behaviour are more frequent than any other step.
        match rng.random_range(0..17) {
            0 => steps.extend([(at, Step::Kill(vm)), (end, Step::Start(vm))]),
            1 => steps.extend([(at, Step::Pause(vm)), (end, Step::Resume(vm))]),
            2 => steps.extend([(at, Step::Terminate(vm)), (at + STOP_TIME, Step::Start(vm))]),
            3 => steps.extend([
                (at, Step::StoreLink(vm, random_link_fault(rng))),
                (end, Step::StoreLink(vm, Link::Healthy)),
            ]),
            4 => steps.push((at, Step::StoreOpenConnections(vm, random_connection_fault(rng)))),
            5 => steps.extend([
                (at, Step::ServerLink(server, random_link_fault(rng))),
                (end, Step::ServerLink(server, Link::Healthy)),
            ]),
            6 => steps.push((at, Step::ServerOpenConnections(server, random_connection_fault(rng)))),
            7 | 14..=16 => steps.extend([
                (at, Step::SetBehaviour(server, random_behaviour(rng))),
                (end, Step::SetBehaviour(server, Behaviour::Healthy)),
            ]),
            8 => steps.extend([
                (at, Step::CrashServer(server)),
                (at + ENTRY_LIFETIME, Step::ReplaceServer(server)),
            ]),
            9 => steps.extend([
                (at, Step::StoreOutage(Some(random_store_fault(rng)))),
                (end, Step::StoreOutage(None)),
            ]),
            10 => steps.extend([
                (at, Step::MarkLeaving(server)),
                (at + ENTRY_LIFETIME, Step::ReplaceServer(server)),
            ]),
            11 => steps.push((at, Step::HangUp(vm))),
            12 => {
                let domain = rng.random_range(0..DOMAINS.len());
                steps.extend([(at, Step::Drain(domain, true)), (end, Step::Drain(domain, false))]);
            }
            _ => steps.push((at, Step::Configure)),
        }
    }
    // One phase in five includes a power failure of all VMs.
    if rng.random_ratio(1, 5) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let all = (0..vms).flat_map(|vm| [(at, Step::Kill(vm)), (at + Duration::from_secs(1), Step::Start(vm))]);
        steps.extend(all);
    }
    steps.extend(random_limits(rng, servers));
    steps.extend(random_restores(rng));
    steps.extend(random_deadly_requests(rng, vms));
    sorted_by_time(steps)
}

/// Overlapping cuts of one, most or all VMs, silences of the store, and changes, signals and kills among them.
pub fn random_cuts(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(2..5) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let end = at + Duration::from_millis(rng.random_range(500..5000));
        let open = [
            OpenConnections::Reset,
            OpenConnections::Stalled,
            OpenConnections::Unchanged,
        ];
        let open = *open.choose(rng).expect("the list is not empty");
        let first = rng.random_range(0..vms);
        let count = [1, 1, vms - 1, vms][rng.random_range(0..4)];
        for vm in (0..count).map(|n| (first + n) % vms) {
            steps.extend([(at, Step::CutOff(vm, Some(open))), (end, Step::CutOff(vm, None))]);
        }
    }
    for _ in 0..rng.random_range(1..4) {
        let at = Duration::from_millis(rng.random_range(0..6000));
        let end = at + Duration::from_millis(rng.random_range(200..4000));
        let before = at.saturating_sub(Duration::from_millis(rng.random_range(20..400)));
        steps.extend([
            (before, Step::Configure),
            (at, Step::StoreOutage(Some(Fault::Silent))),
            (end, Step::StoreOutage(None)),
            (end + Duration::from_millis(rng.random_range(0..2000)), Step::Configure),
        ]);
    }
    for _ in 0..rng.random_range(2..6) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let (vm, server) = (rng.random_range(0..vms), rng.random_range(0..servers));
        match rng.random_range(0..5) {
            0 => steps.extend([(at, Step::Kill(vm)), (at + Duration::from_secs(1), Step::Start(vm))]),
            1 => steps.extend([(at, Step::Terminate(vm)), (at + STOP_TIME, Step::Start(vm))]),
            2 => steps.extend([
                (at, Step::MarkLeaving(server)),
                (at + ENTRY_LIFETIME, Step::ReplaceServer(server)),
            ]),
            3 => steps.push((at, Step::HangUp(vm))),
            _ => steps.push((at, Step::Configure)),
        }
    }
    sorted_by_time(steps)
}

/// One request that crashes the servers that run it, sent again and again to any VM, in one phase in two.
fn random_deadly_requests(rng: &mut StdRng, vms: usize) -> Vec<TimedStep> {
    let number = rng.random();
    let count = if rng.random() { rng.random_range(10..40) } else { 0 };
    let times = (0..count).map(|_| Duration::from_millis(rng.random_range(200..9000)));
    let times: Vec<Duration> = times.collect();
    times
        .into_iter()
        .map(|at| (at, Step::SendDeadly(rng.random_range(0..vms), number)))
        .collect()
}

/// Restores of the store from copies of any age, in one phase in two; each follows a short or long outage.
fn random_restores(rng: &mut StdRng) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    if rng.random() {
        return steps;
    }
    for _ in 0..rng.random_range(1..4) {
        let at = Duration::from_millis(rng.random_range(500..5000));
        let back_at = at + Duration::from_millis(rng.random_range(20..2500));
        let age = Duration::from_millis(rng.random_range(50..6000));
        steps.extend([
            (at, Step::StoreOutage(Some(random_store_fault(rng)))),
            (back_at, Step::RestoreStore(age)),
            (back_at, Step::StoreOutage(None)),
        ]);
    }
    steps
}

/// Limits that servers state, change and take back, some of which cannot be read; in one phase in three, all servers state
/// one at once.
fn random_limits(rng: &mut StdRng, servers: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let are_all_limited = rng.random_ratio(1, 3);
    for server in 0..servers {
        if !are_all_limited && !rng.random_ratio(1, 3) {
            continue;
        }
        let at = Duration::from_millis(if are_all_limited {
            500
        } else {
            rng.random_range(0..4000)
        });
        let end = at + Duration::from_millis(rng.random_range(4000..9000));
        let limit = *LIMITS.choose(rng).expect("the list is not empty");
        steps.extend([
            (at, Step::SetLimit(server, Some(limit))),
            (end, Step::SetLimit(server, None)),
        ]);
    }
    steps
}

/// VMs that return from planned work while another one is cut off from the store, and servers whose answers never end.
pub fn returns_and_endless_answers(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    if rng.random() {
        let at = Duration::from_millis(rng.random_range(0..1500));
        let (first, other) = (rng.random_range(0..vms), rng.random_range(1..vms));
        let cut_at = at + Duration::from_millis(rng.random_range(2200..6000));
        let healed_at = cut_at + Duration::from_millis(rng.random_range(2000..6000));
        let other = (first + other) % vms;
        steps.extend([
            (at, Step::Terminate(first)),
            (at + STOP_TIME, Step::Start(first)),
            (cut_at, Step::StoreLink(other, Link::StalledToTarget)),
            (healed_at, Step::StoreLink(other, Link::Healthy)),
        ]);
    }
    for server in 0..servers {
        if !rng.random_ratio(1, 4) {
            continue;
        }
        let at = Duration::from_millis(rng.random_range(0..5000));
        let end = at + Duration::from_millis(rng.random_range(500..3000));
        steps.extend([
            (at, Step::SetBehaviour(server, Behaviour::Endless)),
            (end, Step::SetBehaviour(server, Behaviour::Healthy)),
        ]);
    }
    steps
}

/// Stops and kills of VMs while others get their answers through them.
pub fn ends_of_tunnels(rng: &mut StdRng, vms: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let cut_off = rng.random_range(0..vms);
    let at = Duration::from_millis(rng.random_range(0..2000));
    steps.extend([
        (at, Step::CutOff(cut_off, Some(OpenConnections::Reset))),
        (at + Duration::from_secs(6), Step::CutOff(cut_off, None)),
    ]);
    for other in (1..vms).map(|n| (cut_off + n) % vms) {
        let at = at + Duration::from_millis(rng.random_range(500..5000));
        match rng.random_range(0..3) {
            0 => steps.extend([
                (at, Step::Kill(other)),
                (at + Duration::from_secs(1), Step::Start(other)),
            ]),
            1 => steps.extend([(at, Step::Terminate(other)), (at + STOP_TIME, Step::Start(other))]),
            _ => steps.extend([
                (at, Step::Pause(other)),
                (at + Duration::from_millis(1500), Step::Resume(other)),
            ]),
        }
    }
    steps
}

/// Planned work only: one VM is stopped and started while configurations and servers change.
pub fn planned_work(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let first = rng.random_range(0..vms);
    steps.extend([
        (Duration::ZERO, Step::Terminate(first)),
        (STOP_TIME, Step::Start(first)),
    ]);
    for _ in 0..rng.random_range(1..4) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let server = rng.random_range(0..servers);
        match rng.random_range(0..3) {
            0 => steps.push((at, Step::HangUp(rng.random_range(0..vms)))),
            1 => steps.extend([
                (at, Step::MarkLeaving(server)),
                (at + ENTRY_LIFETIME, Step::ReplaceServer(server)),
            ]),
            _ => steps.push((at, Step::Configure)),
        }
    }
    sorted_by_time(steps)
}

pub fn sorted_by_time(mut steps: Vec<TimedStep>) -> Vec<TimedStep> {
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn random_link_fault(rng: &mut impl Rng) -> Link {
    let delay = Duration::from_millis(rng.random_range(20..800));
    let links = [
        Link::Delayed(delay),
        Link::StalledToTarget,
        Link::StalledFromTarget,
        Link::Closed,
    ];
    *links.choose(rng).expect("the list is not empty")
}

fn random_connection_fault(rng: &mut impl Rng) -> OpenConnections {
    if rng.random() {
        OpenConnections::Stalled
    } else {
        OpenConnections::Reset
    }
}

fn random_behaviour(rng: &mut impl Rng) -> Behaviour {
    let behaviours = [
        Behaviour::Slow,
        Behaviour::DropsAnswers,
        Behaviour::Truncates,
        Behaviour::Fails,
    ];
    *behaviours.choose(rng).expect("the list is not empty")
}

fn random_store_fault(rng: &mut impl Rng) -> Fault {
    let faults = [
        Fault::Status(503),
        Fault::Status(429),
        Fault::Close,
        Fault::LoseResponse,
        Fault::Slow(Duration::from_millis(300)),
    ];
    *faults.choose(rng).expect("the list is not empty")
}
