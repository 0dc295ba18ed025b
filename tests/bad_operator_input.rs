//! Invalid input from operators on the admin port and through `mangohookctl`.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

mod support;

use std::process::{Command, Output};

use mh_standin::Caller;
use support::TestSystem;

/// Guards against a malformed admin request that is applied in part or answered without an error code.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_admin_requests_get_a_code_and_change_nothing() {
    let system = TestSystem::start(1).await;
    let admin = system.vm(0).admin;
    let operator = Caller::new(None);
    let route = "/v1/settings/teams/shop/routes/stock";
    let before = operator.get(admin, "/v1/settings").await.unwrap().json();
    let requests = [
        ("PUT", route.to_owned(), "not json {", 3001),
        ("PUT", route.to_owned(), "", 3001),
        ("PUT", format!("{route}?if_revision=soon"), "{}", 3012),
        ("PUT", "/v1/settings/teams/shop".to_owned(), "{}", 3005),
        (
            "PUT",
            "/v1/settings/teams/shop/organisations/new".to_owned(),
            "{\"speed\": 1}",
            3002,
        ),
        ("DELETE", "/v1/settings/teams/shop/routes/none".to_owned(), "", 3009),
        ("POST", route.to_owned(), "{}", 3012),
        ("GET", "/v2/anything".to_owned(), "", 3012),
    ];

    for (method, path, body, code) in requests {
        let answer = operator.send(admin, method, &path, &[], body).await.unwrap();
        assert_eq!(answer.code(), Some(code), "{method} {path}: {}", answer.text());
    }

    assert_eq!(operator.get(admin, "/v1/settings").await.unwrap().json(), before);
}

/// Runs `mangohookctl` against a VM, with `input` as the file `doc.yaml`.
fn ctl(system: &TestSystem, args: &str, input: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("doc.yaml"), input).unwrap();
    Command::new(env!("CARGO_BIN_EXE_mangohookctl"))
        .current_dir(folder.path())
        .args(["--admin", &system.vm(0).admin.to_string()])
        .args(args.split(' '))
        .output()
        .unwrap()
}

/// Guards against a command that fails without an error code, loses a change or ends with the wrong exit code.
#[tokio::test(flavor = "multi_thread")]
async fn commands_report_their_result_and_exit_code() {
    let system = TestSystem::start(1).await;
    let route = "{service: stock, path: /nets, execution: idempotent}";
    let other = "{service: stock, path: /nets, execution: at-most-once}";
    let nets = "/teams/shop/routes/nets";
    let set = format!("set {nets} -f doc.yaml");
    let commands = [
        (format!("{set} --if-revision 0"), route, 0, "in force"),
        (format!("{set} --if-revision 0"), other, 5, "MH3006"),
        (format!("{set} --if-revision 1"), "{service: [", 2, "doc.yaml"),
        (set.clone(), "{speed: 1}", 5, "MH3002"),
        (
            set.clone(),
            "{service: none, path: /n, execution: idempotent}",
            5,
            "MH3007",
        ),
        (format!("get {nets}"), "", 0, "idempotent"),
        (format!("get {nets} --output json"), "", 0, "\"idempotent\""),
        (format!("get {nets} --output yaml"), "", 0, "execution: idempotent"),
        ("get /teams/shop/routes/none".to_owned(), "", 5, "MH3009"),
        ("get /nonsense".to_owned(), "", 5, "MH3005"),
        ("list /teams/shop/routes".to_owned(), "", 0, nets),
        (format!("diff {nets} -f doc.yaml"), other, 0, "+execution: at-most-once"),
        (format!("history {nets}"), "", 0, "set"),
        ("keys grant shop orchard desk".to_owned(), "", 0, "mhk.shop.desk."),
        ("keys grant shop orchard desk".to_owned(), "", 5, "MH3006"),
        ("keys grant shop nobody door".to_owned(), "", 5, "MH3007"),
        ("keys withdraw shop desk".to_owned(), "", 0, "in force"),
        ("keys withdraw shop desk".to_owned(), "", 5, "MH3009"),
        (
            "drains start shop d1 --service stock --server s1".to_owned(),
            "",
            0,
            "in force",
        ),
        (
            "drains start shop d2 --service stock --server none".to_owned(),
            "",
            5,
            "MH3007",
        ),
        ("drains start shop d3 --service stock".to_owned(), "", 2, "--server"),
        ("drains end shop d1".to_owned(), "", 0, "in force"),
        ("status".to_owned(), "", 0, "vm-0"),
        ("status --output json".to_owned(), "", 0, "\"vm-0\""),
        ("dump".to_owned(), "", 0, "snapshot"),
        (format!("remove {nets}"), "", 0, "in force"),
        (format!("remove {nets}"), "", 5, "MH3009"),
        ("--admin 127.0.0.1:1 status".to_owned(), "", 0, "vm-0"),
        ("nonsense".to_owned(), "", 2, "nonsense"),
    ];

    for (args, input, expected_exit, expected_text) in commands {
        let run = ctl(&system, &args, input);
        let output = String::from_utf8_lossy(&run.stdout) + String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(expected_exit), "{args}: {output}");
        assert!(output.contains(expected_text), "{args}: {output}");
    }
}

/// Guards against a conflict message that omits what the other operator changed.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_shows_what_changed() {
    let system = TestSystem::start(1).await;
    let path = "/teams/shop/organisations/orchard";
    let first = ctl(
        &system,
        &format!("--operator ana set {path} -f doc.yaml"),
        "{rate_per_second: 50, burst: 60}",
    );
    assert_eq!(first.status.code(), Some(0));

    let second = ctl(
        &system,
        &format!("--operator bo set {path} -f doc.yaml --if-revision 1"),
        "{rate_per_second: 70, burst: 60}",
    );

    let text = String::from_utf8_lossy(&second.stderr);
    assert_eq!(second.status.code(), Some(5));
    assert!(
        ["MH3006", "ana", "\"rate_per_second\":50"]
            .iter()
            .all(|part| text.contains(part)),
        "{text}"
    );
}
