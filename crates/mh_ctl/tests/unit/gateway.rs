//! Tests of `mangohookctl gateway`, which shows the state of a gateway VM.

use expect_test::expect;
use serde_json::json;

use super::*;

/// Guards against columns that show the wrong field and against headings of empty tables.
#[test]
fn state_is_rendered_as_tables() {
    let state = json!({"vm": "a-1", "ready": true, "revision": 7, "reads": false, "usable_vms": 3, "listed_vms": 4,
        "held_bytes": 0, "feeds": [{"feed": "settings", "held": 12, "changed": 9, "age_ms": 80, "failing": false}],
        "services": [], "shifts": [], "quotas": [{"organisation": "coop", "left": 2.5}],
        "servers": [{"name": "s1", "service": "stock", "version": "v1", "leaving": false, "cold": true, "closed": false,
            "in_flight": 1, "others": 0.5, "error_rate": 0.0, "slowness": 1.0}],
        "objects": [{"object": "00c0ffee00c0ffee", "service": "stock", "servers": "s1: first, cold; s2: next"}]});

    expect![["
        VM   READY  REVISION  READS  VMS USABLE  VMS LISTED  HELD BYTES
        a-1  true   7         false  3           4           0

        FEED      HELD  CHANGED  AGE MS  FAILING
        settings  12    9        80      false

        ORGANISATION  LEFT HERE
        coop          2.5"]]
    .assert_eq(&render(&state, false));
    let with_servers = render(&state, true);
    assert!(
        with_servers.contains("00c0ffee00c0ffee  stock    s1: first, cold; s2: next"),
        "{with_servers}"
    );
    assert!(with_servers.ends_with("s1      stock    v1       false    true  false   1     0.5        0.0     1.0"));
}
