//! Checks the tables in the docs against the code.

use std::fmt::Write;

use expect_test::expect_file;
use mh_types::{Code, Event};

/// Guards against a result code that the docs do not list, or describe differently.
#[test]
fn result_codes_page_lists_every_code() {
    let mut page = String::from(
        "# Result codes\n\nA refusal or an error carries one of these numbers. `wait` says whether the same request may \
         succeed later.\nThe table is checked against the code by a test; `UPDATE_EXPECT=1 cargo test -p mh_types` \
         rewrites it.\n\n| code | HTTP status | wait | meaning |\n| --- | --- | --- | --- |\n",
    );

    for code in Code::ALL {
        let wait = if code.is_temporary() { "yes" } else { "no" };
        writeln!(
            page,
            "| {} | {} | {wait} | {} |",
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
