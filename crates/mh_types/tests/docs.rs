//! Checks the tables in the docs against the code.

use std::fmt::Write;

use expect_test::expect_file;
use mh_types::{Code, Event};

/// Guards against a result code that the docs do not list, or describe differently.
#[test]
fn result_codes_page_lists_every_code() {
    let mut page = String::from(
        "# Result codes\n\nA refusal or an error carries one of these numbers. `wait` says whether the same request may \
         succeed later.\n`may have run` says whether a request that ends with the code may have run. Where it does, the \
         field `run` of the refusal\ntells whether this request may have. The statuses 408, 421, 429 and 503 promise that \
         the request has not run and never will.\nThe table is checked against the code by a test; `UPDATE_EXPECT=1 cargo test -p mh_types` \
         rewrites it.\n\n| code | HTTP status | wait | may have run | meaning |\n| --- | --- | --- | --- | --- |\n",
    );

    for code in Code::ALL {
        let wait = if code.is_temporary() { "yes" } else { "no" };
        let may_have_run = if code.may_have_run() { "yes" } else { "no" };
        writeln!(
            page,
            "| {} | {} | {wait} | {may_have_run} | {} |",
            code.number(),
            code.status(),
            code.title()
        )
        .unwrap();
    }

    expect_file!["../../../docs/result-codes.md"].assert_eq(&page);
}

/// Guards against a log event that the docs do not list, or describe differently.
#[test]
fn events_page_lists_every_event() {
    let mut page = String::from(
        "# Event catalogue\n\nEach log line of the system starts with one of these numbers, as `E100`, and has further \
         `key=value` pairs.\nThe table is checked against the code by a test; `UPDATE_EXPECT=1 cargo test -p mh_types` \
         rewrites it.\n\n| event | level | meaning |\n| --- | --- | --- |\n",
    );

    for event in Event::ALL {
        writeln!(page, "| E{} | {} | {} |", event.number(), event.level(), event.title()).unwrap();
    }

    expect_file!["../../../docs/events.md"].assert_eq(&page);
}

/// Guards against a status that promises that a request has not run, for a code of requests that may have run: callers
/// would send these again.
#[test]
fn codes_of_requests_that_may_have_run_promise_nothing() {
    for code in Code::ALL {
        assert!(!(code.may_have_run() && code.promises_not_run()), "{code}");
        assert!(code.if_may_have_run().may_have_run(), "{code}");
    }
}

/// Guards against two codes or events that share a number.
#[test]
fn numbers_are_unique_and_ordered() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(Event::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(
        Code::ALL
            .iter()
            .all(|code| Code::from_number(code.number()) == Some(*code))
    );
}
