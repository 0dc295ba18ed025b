//! The cases.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::ledger::Ledger;
use crate::server::{Behaviour, Server};
use crate::store::{Store, BUSY, SERVE};
use crate::world::{configure, load, start, zone, Client, Vm};

/// Time after which a bound of the rules applies again (`stable`).
const STABLE: Duration = Duration::from_millis(3000);
/// Timeout of each route.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// Bound of the rules on a leaving server (`drain`).
const DRAIN: Duration = Duration::from_millis(2000);

/// Runs a case; returns whether its rule was broken.
pub fn run(case: &str, program: &Path, folder: &Path, trouble: bool, record: &Path) -> Result<bool, String> {
    let mut world = World {
        store: Store::new(),
        ledger: Arc::new(Ledger::new()),
        vms: Vec::new(),
        servers: Vec::new(),
        stop: Arc::default(),
    };
    let is_broken = match case {
        "leaving" => leaving(&mut world, program, folder, trouble),
        "deadly" => deadly(&mut world, program, folder, trouble),
        "framing" => framing(&mut world, program, folder, trouble),
        "hang" => hang(&mut world, program, folder, trouble),
        "rolled-back" => rolled_back(&mut world, program, folder, trouble),
        _ => Err(format!("no case {case}")),
    }?;
    let verdict = if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    };
    world.ledger.note(verdict);
    std::fs::write(record, world.ledger.text()).map_err(|e| e.to_string())?;
    println!("{case}, trouble {}: {verdict}", u8::from(trouble));
    Ok(is_broken)
}

struct World {
    store: Arc<Store>,
    ledger: Arc<Ledger>,
    vms: Vec<Vm>,
    servers: Vec<Arc<Server>>,
    stop: Arc<AtomicBool>,
}

impl World {
    fn begin(&mut self, vms: usize, program: &Path, folder: &Path) -> Result<(), String> {
        self.begin_with_cores(vms, 1, program, folder)
    }

    fn begin_with_cores(&mut self, vms: usize, cores: usize, program: &Path, folder: &Path) -> Result<(), String> {
        configure(&self.store, 3);
        self.vms = (0..vms).map(|n| Vm::new(n, cores, &self.store, folder)).collect();
        start(&mut self.vms, program)?;
        self.note("all machines are ready");
        Ok(())
    }

    fn add_servers(&mut self, service: &str, version: &str, count: usize, behaviour: &Behaviour) {
        for n in 0..count {
            let name = format!("i-{service}-{version}-{n}");
            let server = Server::start(
                (&name, service, zone(n % 3), version),
                behaviour.clone(),
                &self.store,
                &self.ledger,
            );
            self.servers.push(server);
        }
    }

    fn note(&self, text: &str) {
        self.ledger.note(text);
        println!("{:8.3} s  {text}", self.ledger.now().as_secs_f64());
    }

    fn load(&self, per_vm: usize, pause: Duration, requests: &'static [(&'static str, &'static str)]) {
        load(&self.vms, &self.ledger, &self.stop, per_vm, pause, requests);
    }

    fn end(&self) {
        self.stop.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(1500));
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A server leaves while the store turns one of three machines away.
fn leaving(world: &mut World, program: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let behaviour = Behaviour {
        work: ms(300),
        ..Behaviour::default()
    };
    world.add_servers("stock", "v1", 3, &behaviour);
    world.add_servers("orders", "v1", 3, &behaviour);
    world.begin(3, program, folder)?;
    world.load(10, ms(100), &[("POST", "/orders/")]);
    std::thread::sleep(ms(3000));
    if trouble {
        world.note("the store turns vm 0 away with 503");
        world.vms[0].door.set(&world.store, BUSY);
    }
    std::thread::sleep(ms(500));
    let server = world
        .servers
        .iter()
        .find(|server| server.service == "orders")
        .cloned()
        .ok_or("no server")?;
    world.note(&format!(
        "server {} reports draining, the store accepts it, and all its answers say so",
        server.name
    ));
    server.behaviour.lock().unwrap().says_leaving = true;
    server.register("draining");
    std::thread::sleep(DRAIN + ms(3000));
    world.note(&format!("server {} ends", server.name));
    world.store.remove("servers", &server.name);
    server.stop();
    std::thread::sleep(ms(1500));
    world.vms[0].door.set(&world.store, SERVE);
    world.end();
    let sent = world.ledger.sent.lock().unwrap().clone();
    let runs = world.ledger.runs.lock().unwrap().clone();
    let mut broken = 0;
    for vm in 0..world.vms.len() {
        // When the machine had first passed on an answer with the header.
        let told = sent.values().filter(|sent| sent.vm == vm && sent.is_marked_leaving);
        let Some(told_at) = told.filter_map(|sent| sent.answered).map(|(at, _)| at).min() else {
            continue;
        };
        let late = runs
            .iter()
            .filter(|run| run.server == server.name)
            .filter_map(|run| sent.get(&run.id));
        let late: Vec<_> = late.filter(|sent| sent.vm == vm && sent.at > told_at + DRAIN).collect();
        let lost = late
            .iter()
            .filter(|sent| sent.answered.is_none_or(|(_, status)| matches!(status, 0 | 502 | 504)))
            .count();
        world.note(&format!(
            "vm {vm} passed on Server-Leaving first at {:.3} s; {} requests sent over 2 s later reached the server from it, {lost} of them were lost",
            told_at.as_secs_f64(),
            late.len()
        ));
        broken += late.len();
    }
    Ok(broken > 0)
}

/// A request with a chunked body crashes each server that begins to run it, and comes again.
fn deadly(world: &mut World, program: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let is_chunked = std::env::var("BODY").map_or(true, |text| text != "length");
    let behaviour = Behaviour {
        work: ms(100),
        dies_of_deadly: trouble,
        ..Behaviour::default()
    };
    world.add_servers("orders", "v1", 6, &behaviour);
    world.begin(3, program, folder)?;
    world.load(4, ms(100), &[("POST", "/orders/")]);
    std::thread::sleep(ms(2000));
    world.note("a client begins to send the same request every 0.7 s, at any machine");
    for n in 0..40 {
        let mut client = Client::new(n % 3, world.vms[n % 3].callers, &world.ledger);
        client.call("POST", "/orders/deadly", "the same bytes each time", is_chunked);
        std::thread::sleep(ms(700));
    }
    world.end();
    let sent = world.ledger.sent.lock().unwrap().clone();
    let mut runs = world.ledger.runs.lock().unwrap().clone();
    runs.retain(|run| sent.get(&run.id).is_some_and(|sent| sent.what.contains("deadly")));
    let crashes: u64 = world
        .servers
        .iter()
        .map(|server| server.crashes.load(Ordering::SeqCst))
        .sum();
    let third = runs.get(2).filter(|_| trouble).map(|run| run.at);
    let late = third.map_or(0, |at| runs.iter().filter(|run| run.at > at + STABLE).count());
    let other = |sent: &&crate::ledger::Sent| !sent.what.contains("deadly");
    let lost = sent
        .values()
        .filter(other)
        .filter(|sent| sent.answered.is_some_and(|(_, status)| matches!(status, 0 | 502 | 504)))
        .count();
    world.note(&format!(
        "{crashes} crashes of servers; {late} requests reached a server later than 3 s after the third; {lost} orders of other clients were lost"
    ));
    Ok(late > 3)
}

/// A server in trouble spoils the framing of some answers.
fn framing(world: &mut World, program: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let behaviour = Behaviour {
        work: ms(10),
        ..Behaviour::default()
    };
    world.add_servers("stock", "v1", 3, &behaviour);
    world.add_servers("orders", "v1", 3, &behaviour);
    world.begin(1, program, folder)?;
    world.load(6, ms(50), &[("GET", "/stock/"), ("POST", "/orders/")]);
    std::thread::sleep(ms(2000));
    if trouble {
        world.note("one server of each service spoils two in five of its answers for 5.5 s");
        for server in world.servers.iter().step_by(3) {
            server.behaviour.lock().unwrap().spoilt_percent = 40;
        }
    }
    std::thread::sleep(ms(5500));
    for server in &world.servers {
        server.behaviour.lock().unwrap().spoilt_percent = 0;
    }
    world.end();
    let text = world.ledger.text();
    let foreign = text.matches("FOREIGN").count();
    let wrong = text.matches("WRONG BODY").count();
    world.note(&format!(
        "{foreign} answers that belong to no request of their client, {wrong} successes with another body"
    ));
    Ok(foreign + wrong > 0)
}

/// A bad version is rolled back, and the operator orders the next one half a second later.
fn rolled_back(world: &mut World, program: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let good = Behaviour {
        work: ms(20),
        ..Behaviour::default()
    };
    let bad = Behaviour {
        failing_percent: 35,
        failing_path: "/",
        ..good.clone()
    };
    let duration = Duration::from_secs(8);
    world.add_servers("orders", "v1", 6, &good);
    world.begin(3, program, folder)?;
    world.load(15, ms(100), &[("POST", "/orders/"), ("POST", "/deposits/")]);
    std::thread::sleep(ms(3000));
    world.add_servers("orders", "v2", 6, &bad);
    std::thread::sleep(ms(500));
    let (store, ledger) = (Arc::clone(&world.store), Arc::clone(&world.ledger));
    let order = |version: &str, duration: Duration| {
        let text = format!(
            "{{\"service\":\"orders\",\"to\":\"{version}\",\"duration\":\"{}s\"}}",
            duration.as_secs()
        );
        store.put("op", "rollout/orders", &text);
        ledger.note(&format!(
            "the operator orders {version} of orders within {} s",
            duration.as_secs()
        ));
        ledger.now()
    };
    let ordered = order("v2", duration);
    let state = || store.value("status", "rollout/orders").unwrap_or_default();
    while !state().contains("rolled_back") {
        if ledger.now() > ordered + duration {
            return Err("the bad version was not rolled back".to_owned());
        }
        std::thread::sleep(ms(20));
    }
    let rolled_back_at = ledger.now();
    world.note("the system has written rolled_back for v2");
    std::thread::sleep(ms(500));
    world.add_servers("orders", "v3", 6, &good);
    if trouble {
        order("v3", Duration::from_secs(16));
    }
    std::thread::sleep((rolled_back_at + ms(4000)).saturating_sub(ledger.now()));
    world.note("the servers of v2 drain");
    for server in world.servers.iter().filter(|server| server.version == "v2") {
        server.register("draining");
    }
    std::thread::sleep((ordered + duration + ms(500)).saturating_sub(ledger.now()));
    world.end();
    let deadline = ordered + duration;
    let runs = ledger.runs.lock().unwrap().clone();
    let sent = ledger.sent.lock().unwrap().clone();
    let in_time: Vec<_> = runs
        .iter()
        .filter(|run| run.at >= ordered && run.at <= deadline)
        .collect();
    let exposed: Vec<_> = in_time.iter().filter(|run| run.version == "v2").collect();
    let after: Vec<_> = exposed.iter().filter(|run| run.at > rolled_back_at).collect();
    let is_failed = |id: &str| {
        sent.get(id)
            .and_then(|sent| sent.answered)
            .is_some_and(|(_, status)| status == 500)
    };
    let failed = after.iter().filter(|run| is_failed(&run.id)).count();
    let allowed = 0.1 * in_time.len() as f64 + 50.0;
    world.note(&format!(
        "{} requests reached orders between the order of v2 and its deadline, {} of them v2; {allowed:.0} are allowed; after rolled_back v2 got {} and failed {failed}",
        in_time.len(),
        exposed.len(),
        after.len()
    ));
    Ok(exposed.len() as f64 > allowed)
}

/// Machines with two cores get changes of the configuration, and servers start again.
fn hang(world: &mut World, program: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    const MACHINES: usize = 90;
    /// Length of a series of changes, in changes that are 0.33 s apart, and of the pause after it.
    const SERIES: u64 = 12;
    let behaviour = Behaviour {
        work: ms(10),
        ..Behaviour::default()
    };
    world.add_servers("stock", "v1", 6, &behaviour);
    world.add_servers("orders", "v1", 6, &behaviour);
    let cores = if trouble { 2 } else { 1 };
    world.begin_with_cores(MACHINES, cores, program, folder)?;
    world.note(&format!("{MACHINES} machines with {cores} cores each"));
    world.load(2, ms(500), &[("GET", "/stock/"), ("POST", "/orders/")]);
    let mut version = 3;
    let mut silent = [0; MACHINES];
    for round in 1.. {
        if round % (SERIES + 3) < SERIES {
            version += 1 + round % 3;
            configure(&world.store, version);
        }
        world.servers[round as usize % world.servers.len()].register("ready");
        std::thread::sleep(ms(330));
        if round % 10 != 0 {
            continue;
        }
        for vm in 0..MACHINES {
            silent[vm] = if world.vms[vm].is_ready() { 0 } else { silent[vm] + 1 };
        }
        if silent.iter().any(|rounds| *rounds >= 3) || world.ledger.now() > Duration::from_secs(96) {
            break;
        }
    }
    // Time for the clients of a machine that hangs to find that out.
    std::thread::sleep(ms(4000));
    let hung: Vec<usize> = (0..MACHINES).filter(|vm| silent[*vm] >= 3).collect();
    for vm in &hung {
        let is_running = world.vms[*vm].is_running();
        world.note(&format!(
            "vm {vm} has answered three readiness checks 3 s apart with nothing; its process runs: {is_running}"
        ));
    }
    let end = world.ledger.now();
    world.end();
    let sent = world.ledger.sent.lock().unwrap().clone();
    // Those that can be judged by now.
    let judged = sent.values().filter(|sent| sent.at + TIMEOUT + ms(500) < end);
    let is_open = |sent: &&crate::ledger::Sent, after: Duration| {
        sent.answered
            .is_none_or(|(at, status)| status == 0 || at > sent.at + after)
    };
    let at_timeout: Vec<_> = judged.filter(|sent| is_open(sent, TIMEOUT)).collect();
    let later: Vec<_> = at_timeout
        .iter()
        .filter(|sent| is_open(sent, TIMEOUT + ms(500)))
        .collect();
    let at_hung = later.iter().filter(|sent| hung.contains(&sent.vm)).count();
    world.note(&format!(
        "{} of {MACHINES} machines hang; {} of {} requests were unanswered at the timeout of their route, and {} half a second later, {at_hung} of these at machines that hang",
        hung.len(),
        at_timeout.len(),
        sent.len(),
        later.len()
    ));
    Ok(!hung.is_empty() && later.len() * 2 > at_timeout.len())
}
