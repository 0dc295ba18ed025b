//! The story of a request from logs.

use std::io::Write;

use expect_test::expect;

use super::*;

const FIRST: &str = "\
2026-12-04T10:00:00.100Z INFO  E205 A request to one backend server got no answer to pass on. request=q1 server=s1 code=2004 run=unknown after_ms=2
2026-12-04T10:00:00.130Z INFO  E204 A backend server answered a request. request=q1 server=s2 status=200 after_ms=31
2026-12-04T10:00:00.140Z INFO  E209 A request was refused as not run. code=1005 run=not-run request=q2 after_ms=0
torn line without a time E204 request=q1
";
const SECOND: &str = "\
2026-12-04T10:00:00.090Z INFO  E206 No backend server was chosen for a request. request=q1 service=stock code=2002
2026-12-04T10:00:00.500Z WARN  E503 Changes can no longer be read from the store. feed=servers error=no answer in time
2026-12-04T10:00:01.000Z WARN  E207 Log lines were left out to keep within the limit. lines=40
";

fn logs(texts: &[&str]) -> (tempfile::TempDir, Vec<PathBuf>) {
    let folder = tempfile::tempdir().expect("a folder for tests");
    let write = |(n, text): (usize, &&str)| {
        let path = folder.path().join(format!("vm-{n}.log"));
        let mut file = File::create(&path).expect("a new file");
        file.write_all(text.as_bytes()).expect("room on the disk");
        path
    };
    let paths = texts.iter().enumerate().map(write).collect();
    (folder, paths)
}

/// Guards against lines of other requests, or in another order than they came about.
#[test]
fn a_story_is_told_in_order_over_all_vms() {
    let (_folder, logs) = logs(&[FIRST, SECOND]);

    let value = story("q1", &logs).expect("the logs can be read");

    let events: Vec<&str> = value["lines"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|l| l["event"].as_str())
        .collect();
    assert_eq!(events, ["E206", "E205", "E204"]);
    expect!["Server s2 answered it with 200 after 31 ms."].assert_eq(value["outcome"].as_str().unwrap_or_default());
}

/// Guards against an outcome that says more than the logs do.
#[test]
fn an_outcome_says_what_the_logs_say() {
    let (_folder, logs) = logs(&[FIRST, SECOND]);
    let outcome = |request: &str, logs: &[PathBuf]| story(request, logs).expect("readable")["outcome"].to_string();

    expect![[r#""It was refused as not run after 0 ms: The organisation has used its rate and burst.""#]]
        .assert_eq(&outcome("q2", &logs));
    expect![[r#""No line tells of it; 40 lines were left out of these logs.""#]].assert_eq(&outcome("q9", &logs));
    expect![[r#""No line tells of it in these logs.""#]].assert_eq(&outcome("q9", &logs[..1]));
    expect![[r#""Its end is not in these logs.""#]].assert_eq(&outcome("q1", &logs[1..]));
}

/// Guards against a missing log that is taken for an empty one.
#[test]
fn a_log_that_cannot_be_read_is_an_error() {
    let error = story("q1", &[PathBuf::from("no-such.log")]).expect_err("there is no such file");

    assert_eq!(error.exit, Exit::Usage);
    assert!(error.text.contains("no-such.log"), "{error}");
}
