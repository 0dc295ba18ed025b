//! Answers that end with their connection, from real VM processes of which one is cut off from all servers.
//!
//! The cut-off VM gets them through the other VM, to which something happens meanwhile. No caller may take a part of an
//! answer for the whole.
//!
//! `OTHER_PROGRAM=PATH cargo test --test tunnelled_answers` also runs each case with another build of the program at
//! either end of the tunnels.
#![allow(dead_code, reason = "parts of the soak test's fixtures are unused")]

#[path = "soak/client.rs"]
mod client;
#[path = "../platform/tests/fake_store/mod.rs"]
mod fake_store;
#[path = "soak/ledger.rs"]
mod ledger;
#[path = "../platform/tests/operator/mod.rs"]
mod operator;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/server.rs"]
mod server;
#[path = "soak/step.rs"]
mod step;
#[path = "soak/vm.rs"]
mod vm;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use fake_store::FakeStore;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use mh_standin::Process;
use operator::{CONFIG_KEY, DEADLINE_MS, HOST, KEY, OPERATOR_TABLE, REQUEST_ID, SERVER_TABLE, STAMP};
use proxy::OpenConnections;
use step::{DOMAINS, FaultSet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vm::Vm;

const API_KEY: &str = "coop-key";

/// Parts of a long answer and the time between two. Together they take longer than a stopped VM serves callers, and less
/// than its grace period.
const PARTS: usize = 20;
const PART_INTERVAL: Duration = Duration::from_millis(200);

/// Requests in flight while something happens to the other VM.
const REQUESTS: usize = 6;

/// Open files of a VM that cannot take all tunnels.
const FEW_FILES: u32 = 32;

/// Requests in flight at a VM with [`FEW_FILES`].
const MANY_REQUESTS: usize = 24;

/// Time after which a wait counts as failed; long enough for a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// What happens to the VM that passes answers on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// It is stopped for planned work.
    Stop,
    Kill,
    /// It is paused for longer than connections wait for a peer.
    Pause,
    /// It has no more files to open.
    FewFiles,
}

fn part(n: usize) -> String {
    format!("part {n:02}\n")
}

fn body(parts: usize) -> String {
    (0..parts).map(part).collect()
}

/// Starts a server that sends long answers without a length, part by part, and ends each with its connection. Short
/// answers state their length.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    addr
}

async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = String::new();
    let mut buf = [0; 4096];
    while !head.contains("\r\n\r\n") {
        let len = stream.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        head.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{REQUEST_ID}: ")));
    let id = id.unwrap_or_default();
    stream.set_nodelay(true)?;
    let (parts, length) = if head.contains("/long") {
        (PARTS, String::new())
    } else {
        (1, format!("content-length: {}\r\nconnection: close\r\n", part(0).len()))
    };
    let head_text = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{STAMP}: {id}\r\n{length}\r\n");
    stream.write_all(head_text.as_bytes()).await?;
    for n in 0..parts {
        if n > 0 {
            tokio::time::sleep(PART_INTERVAL).await;
        }
        stream.write_all(part(n).as_bytes()).await?;
    }
    Ok(())
}

/// Returns status and body of an answer; `None` if it did not arrive completely.
async fn send(vm: SocketAddr, path: &str, id: usize) -> Option<(u16, String)> {
    let stream = TcpStream::connect(vm).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::get(path)
        .header("host", HOST)
        .header(REQUEST_ID, format!("q{id}"))
        .header(DEADLINE_MS, "12000")
        .header(KEY, API_KEY)
        .body(Empty::<Bytes>::new())
        .expect("the headers are valid");
    let answer = sender.send_request(req).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

async fn wait_until_served(vm: SocketAddr) {
    let is_served = async {
        while send(vm, "/stock/short", 0).await != Some((200, body(1))) {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, is_served).await;
    waited.expect("the VM serves");
}

/// Sends requests for long answers to a cut-off VM while `trouble` happens to the VM that passes them on; returns the
/// answers. `programs` are those of the cut-off VM and of the other one; `None` stands for this build's.
async fn answers_during(trouble: Trouble, programs: [Option<&PathBuf>; 2]) -> Vec<Option<(u16, String)>> {
    let store = FakeStore::start().await;
    let folder = tempfile::tempdir().expect("a temporary folder");
    let config = operator::config(2, &[("coop", vec![API_KEY.to_owned()], 0.0)]);
    store.put(OPERATOR_TABLE, CONFIG_KEY, &config.replace("1500ms", "9000ms"));
    let server = start_server().await;
    let entry = operator::server_entry("stock", server, DOMAINS[0], false, 1);
    store.put(SERVER_TABLE, "stock-1", &entry);
    let mut vms = Vec::new();
    for (n, program) in programs.into_iter().enumerate() {
        let name = format!("vm-{n}");
        let mut vm = Vm::new(&name, DOMAINS[n], folder.path(), &store, FaultSet::CutVms).await;
        vm.program = program.cloned().unwrap_or(vm.program);
        vm.add_server("stock-1", server).await;
        vms.push(vm);
    }
    if trouble == Trouble::FewFiles {
        vms[1].max_files = Some(FEW_FILES);
    }
    vms.iter_mut().for_each(Vm::start);
    for vm in &vms {
        wait_until_served(vm.caller_addr).await;
    }
    vms[0].set_cut(Some(OpenConnections::Unchanged));
    wait_until_served(vms[0].caller_addr).await;

    let count = if trouble == Trouble::FewFiles {
        MANY_REQUESTS
    } else {
        REQUESTS
    };
    let addr = vms[0].caller_addr;
    let requests = (0..count).map(|n| tokio::spawn(async move { send(addr, "/stock/long", n + 1).await }));
    let requests: Vec<_> = requests.collect();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let process = vms[1].process.as_ref().expect("it runs");
    match trouble {
        Trouble::Stop => process.terminate().expect("signals can be sent"),
        Trouble::Kill => vms[1].kill(),
        Trouble::Pause => {
            process.pause().await.expect("signals can be sent");
            tokio::time::sleep(Duration::from_millis(2500)).await;
            vms[1].process.as_ref().map(Process::resume);
        }
        Trouble::FewFiles => {}
    }
    let mut answers = Vec::new();
    for request in requests {
        answers.push(request.await.expect("a request does not panic"));
    }
    answers
}

fn assert_none_is_short(answers: &[Option<(u16, String)>], case: &str) {
    let is_short = |answer: &Option<(u16, String)>| {
        let answer = answer.as_ref();
        answer.is_some_and(|(status, text)| *status == 200 && *text != body(PARTS))
    };
    let short = answers.iter().filter(|answer| is_short(answer)).count();
    assert_eq!(
        short,
        0,
        "{case}: {short} of {} answers look complete and are not",
        answers.len()
    );
}

/// Returns the programs of the two VMs in each case.
fn program_pairs(other: Option<&PathBuf>) -> Vec<[Option<&PathBuf>; 2]> {
    match other {
        None => vec![[None, None]],
        Some(_) => vec![[None, None], [other, None], [None, other]],
    }
}

async fn run_cases(trouble: Trouble) {
    let other = std::env::var_os("OTHER_PROGRAM").map(PathBuf::from);
    for programs in program_pairs(other.as_ref()) {
        let answers = answers_during(trouble, programs).await;

        let case = format!("{trouble:?} with {programs:?}");
        let whole = answers
            .iter()
            .flatten()
            .filter(|(_, text)| *text == body(PARTS))
            .count();
        eprintln!("{case}: {whole} of {} answers are whole", answers.len());
        assert_none_is_short(&answers, &case);
        if trouble == Trouble::Stop && programs == [None, None] {
            assert_eq!(whole, answers.len(), "{case}");
        }
    }
}

/// Guards against answers that a VM which is stopped for planned work ends early.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_vm_ends_no_tunnelled_answer() {
    run_cases(Trouble::Stop).await;
}

/// Guards against answers that end with the VM that passes them on.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_vm_leaves_no_answer_that_looks_complete() {
    run_cases(Trouble::Kill).await;
}

/// Guards against answers that end while the VM that passes them on is paused.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_vm_leaves_no_answer_that_looks_complete() {
    run_cases(Trouble::Pause).await;
}

/// Guards against answers that end because the VM that passes them on has no more descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_descriptors_leaves_no_answer_that_looks_complete() {
    run_cases(Trouble::FewFiles).await;
}
