use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::fake_store::Fault;
use super::proxy::{Link, Open};
use super::server::Conduct;

/// Failure domains of the fixtures.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Time from SIGTERM after which a process is ended by force, and some room.
const TERM_TIME: Duration = Duration::from_millis(6500);

/// Time for which a crashed server's entry stays.
const ENTRY_TIME: Duration = Duration::from_secs(4);

/// One thing that happens to the system from outside; VMs and servers are named by their place.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Kill(usize),
    Pause(usize),
    Resume(usize),
    Terminate(usize),
    HangUp(usize),
    /// Starts a VM that is not running, or that has not ended after SIGTERM.
    Start(usize),
    StoreLink(usize, Link),
    StoreOpen(usize, Open),
    ServerLink(usize, Link),
    ServerOpen(usize, Open),
    Conduct(usize, Conduct),
    Crash(usize),
    /// The server says that it leaves.
    Leave(usize),
    /// A new server takes the place of one that crashed or left.
    Replace(usize),
    Outage(Option<Fault>),
    /// A new configuration, which withdraws a key and grants another.
    Configure,
    Drain(usize, bool),
}

/// A step with the time at which it happens, from the start of its phase.
pub type Timed = (Duration, Step);

/// Unplanned faults and planned work in random order, overlapping; each ends within the phase.
pub fn storm(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<Timed> {
    let mut out = Vec::new();
    for _ in 0..rng.random_range(8..20) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let end = at + Duration::from_millis(rng.random_range(200..4000));
        let (vm, server) = (rng.random_range(0..vms), rng.random_range(0..servers));
        // Servers' own faults come more often than each of the others.
        match rng.random_range(0..17) {
            0 => out.extend([(at, Step::Kill(vm)), (end, Step::Start(vm))]),
            1 => out.extend([(at, Step::Pause(vm)), (end, Step::Resume(vm))]),
            2 => out.extend([(at, Step::Terminate(vm)), (at + TERM_TIME, Step::Start(vm))]),
            3 => out.extend([
                (at, Step::StoreLink(vm, link(rng))),
                (end, Step::StoreLink(vm, Link::Sound)),
            ]),
            4 => out.push((at, Step::StoreOpen(vm, open(rng)))),
            5 => out.extend([
                (at, Step::ServerLink(server, link(rng))),
                (end, Step::ServerLink(server, Link::Sound)),
            ]),
            6 => out.push((at, Step::ServerOpen(server, open(rng)))),
            7 | 14..=16 => out.extend([
                (at, Step::Conduct(server, conduct(rng))),
                (end, Step::Conduct(server, Conduct::Sound)),
            ]),
            8 => out.extend([(at, Step::Crash(server)), (at + ENTRY_TIME, Step::Replace(server))]),
            9 => out.extend([(at, Step::Outage(Some(outage(rng)))), (end, Step::Outage(None))]),
            10 => out.extend([(at, Step::Leave(server)), (at + ENTRY_TIME, Step::Replace(server))]),
            11 => out.push((at, Step::HangUp(vm))),
            12 => {
                let domain = rng.random_range(0..DOMAINS.len());
                out.extend([(at, Step::Drain(domain, true)), (end, Step::Drain(domain, false))]);
            }
            _ => out.push((at, Step::Configure)),
        }
    }
    // The power of all VMs fails now and then.
    if rng.random_ratio(1, 5) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let all = (0..vms).flat_map(|vm| [(at, Step::Kill(vm)), (at + Duration::from_secs(1), Step::Start(vm))]);
        out.extend(all);
    }
    sorted(out)
}

/// Planned work only, in series: VMs are stopped and started in turn while configurations and servers change.
pub fn planned(rng: &mut StdRng, vms: usize, servers: usize) -> Vec<Timed> {
    let mut out = Vec::new();
    let first = rng.random_range(0..vms);
    out.extend([
        (Duration::ZERO, Step::Terminate(first)),
        (TERM_TIME, Step::Start(first)),
    ]);
    for _ in 0..rng.random_range(1..4) {
        let at = Duration::from_millis(rng.random_range(0..5000));
        let server = rng.random_range(0..servers);
        match rng.random_range(0..3) {
            0 => out.push((at, Step::HangUp(rng.random_range(0..vms)))),
            1 => out.extend([(at, Step::Leave(server)), (at + ENTRY_TIME, Step::Replace(server))]),
            _ => out.push((at, Step::Configure)),
        }
    }
    sorted(out)
}

fn sorted(mut steps: Vec<Timed>) -> Vec<Timed> {
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn link(rng: &mut impl Rng) -> Link {
    let delay = Duration::from_millis(rng.random_range(20..800));
    let links = [Link::Delayed(delay), Link::CutThere, Link::CutBack, Link::Closed];
    *links.choose(rng).expect("the list is not empty")
}

fn open(rng: &mut impl Rng) -> Open {
    if rng.random() { Open::Silenced } else { Open::Reset }
}

fn conduct(rng: &mut impl Rng) -> Conduct {
    let conducts = [Conduct::Slow, Conduct::LosesAnswers, Conduct::Truncates, Conduct::Fails];
    *conducts.choose(rng).expect("the list is not empty")
}

fn outage(rng: &mut impl Rng) -> Fault {
    let faults = [
        Fault::Status(503),
        Fault::Status(429),
        Fault::Close,
        Fault::LoseResponse,
        Fault::Slow(Duration::from_millis(300)),
    ];
    *faults.choose(rng).expect("the list is not empty")
}
