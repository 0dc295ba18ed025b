//! Tests of `mangohookctl explain`, which collects the log lines of one request.

use std::io::Write;

use expect_test::expect;

use super::*;

const FIRST_LOG: &str = "\
2026-12-04T10:00:00.100Z INFO  E205 A request to one backend server got no answer to pass on. request=q1 server=s1 code=2004 run=unknown after_ms=2
2026-12-04T10:00:00.130Z INFO  E204 A backend server answered a request. request=q1 server=s2 status=200 after_ms=31
2026-12-04T10:00:00.140Z INFO  E209 A request was refused as not run. code=1005 run=not-run request=q2 after_ms=0
partial line without a time E204 request=q1
";
const SECOND_LOG: &str = "\
2026-12-04T10:00:00.090Z INFO  E206 No backend server was chosen for a request. request=q1 service=stock code=2002
2026-12-04T10:00:00.500Z WARN  E503 Changes can no longer be read from the store. feed=servers error=no answer in time
2026-12-04T10:00:01.000Z WARN  E207 Log lines were left out to keep within the limit. lines=40
";

fn logs(texts: &[&str]) -> (tempfile::TempDir, Vec<PathBuf>) {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let write = |(n, text): (usize, &&str)| {
        let path = dir.path().join(format!("vm-{n}.log"));
        let mut file = File::create(&path).expect("a new file");
        file.write_all(text.as_bytes()).expect("a writable file");
        path
    };
    let paths = texts.iter().enumerate().map(write).collect();
    (dir, paths)
}

/// Guards against lines of other requests in the result and against lines that are not in time order.
#[test]
fn trace_merges_the_logs_of_all_vms_in_time_order() {
    let (_dir, logs) = logs(&[FIRST_LOG, SECOND_LOG]);

    let value = trace_request("q1", &logs).expect("the logs can be read");

    let events: Vec<&str> = value["lines"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|line| line["event"].as_str())
        .collect();
    assert_eq!(events, ["E206", "E205", "E204"]);
    expect!["Server s2 answered it with 200 after 31 ms."].assert_eq(value["outcome"].as_str().unwrap_or_default());
}

/// Guards against an outcome that the log lines do not support, for example one that hides that lines were dropped.
#[test]
fn outcome_describes_only_what_the_logs_contain() {
    let (_dir, logs) = logs(&[FIRST_LOG, SECOND_LOG]);
    let outcome = |request: &str, logs: &[PathBuf]| {
        trace_request(request, logs).expect("the logs can be read")["outcome"].to_string()
    };

    expect![[r#""It was refused as not run after 0 ms: The organisation has used its rate and burst.""#]]
        .assert_eq(&outcome("q2", &logs));
    expect![[r#""No log line mentions it; 40 lines were left out of these logs.""#]].assert_eq(&outcome("q9", &logs));
    expect![[r#""No line in these logs mentions it.""#]].assert_eq(&outcome("q9", &logs[..1]));
    expect![[r#""Its end is not in these logs.""#]].assert_eq(&outcome("q1", &logs[1..]));
}

/// Guards against treating a missing log file as an empty one.
#[test]
fn unreadable_log_is_an_error() {
    let error = trace_request("q1", &[PathBuf::from("no-such.log")]).expect_err("there is no such file");

    assert_eq!(error.exit, Exit::Usage);
    assert!(error.message.contains("no-such.log"), "{error}");
}
