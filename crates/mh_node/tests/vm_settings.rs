//! Valid and invalid settings files of a VM.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use mh_node::{FreshnessPolicy, VmSettings};
use mh_types::Code;

/// Returns a complete settings file, one field per line, with `line` replaced.
fn settings_file(line: &str, replacement: &str) -> String {
    let text = "vm: maine-a-1\n\
        domain: maine-a\n\
        region: maine\n\
        listen:\n  caller: 127.0.0.1:7000\n  peer: 127.0.0.1:7001\n  admin: 127.0.0.1:7002\n\
        platform:\n  table: 127.0.0.1:7100\n  objects: 127.0.0.1:7101\n  vms: 127.0.0.1:7102\n  \
        timeout_ms: 1000\n  requests_per_second: 50\n\
        shutdown:\n  deadline_s: 30\n\
        lookup_lifetime_s: 5\n\
        freshness: refuse\n\
        freshness_bound_ms: 2000\n\
        threads: 0\n\
        log: info\n\
        limits:\n  header_timeout_ms: 30000\n  body_timeout_ms: 10000\n  write_timeout_ms: 10000\n  \
        max_header_bytes: 16384\n  max_headers: 100\n  max_replay_bytes: 65536\n  max_connections: 10000\n  \
        connect_timeout_ms: 500\n  max_tries: 3\n";
    assert!(line.is_empty() || text.contains(line), "{line}");
    text.replace(line, replacement)
}

/// Guards against a field of the file that is ignored or stored in another field.
#[test]
fn complete_file_sets_the_matching_fields() {
    let settings = VmSettings::parse("vm.yaml", &settings_file("max_tries: 3", "max_tries: 2")).unwrap();

    let edge = settings.edge_cfg();
    assert_eq!(settings.freshness, FreshnessPolicy::Refuse);
    assert_eq!(
        (edge.max_tries, edge.max_headers, edge.max_replay_bytes),
        (2, 100, 65_536)
    );
    assert_eq!(edge.header_timeout.as_secs(), 30);
}

/// Guards against default limits of the settings file that differ from those of the caller port.
#[test]
fn omitted_limits_use_the_caller_port_defaults() {
    let text = settings_file("", "");
    let without_limits = text.split("limits:").next().unwrap();

    let edge = VmSettings::parse("vm.yaml", without_limits).unwrap().edge_cfg();

    assert_eq!(format!("{edge:?}"), format!("{:?}", mh_edge::EdgeCfg::default()));
}

/// Guards against an error with the wrong code or with a line other than the field's.
#[test]
fn every_error_has_its_code_and_line() {
    use Code::{FieldMissing, FieldOutOfRange, FieldUnknown, NameDuplicate, SyntaxInvalid};
    let cases = [
        ("vm: maine-a-1", "vm: \"maine a\"", FieldOutOfRange, 1),
        ("vm: maine-a-1", "vm: \"\"", FieldOutOfRange, 1),
        ("vm: maine-a-1", "vm: [maine]", FieldOutOfRange, 1),
        ("domain: maine-a\n", "domain: \"a b\"\n", FieldOutOfRange, 2),
        ("region: maine\n", "region: \"a b\"\n", FieldOutOfRange, 3),
        ("region: maine\n", "region: maine\nspeed: 3\n", FieldUnknown, 4),
        ("caller: 127.0.0.1:7000", "caller: maine:7000", FieldOutOfRange, 5),
        ("caller: 127.0.0.1:7000", "caller: 0.0.0.0:7000", FieldOutOfRange, 5),
        ("peer: 127.0.0.1:7001", "peer: 127.0.0.1:7000", NameDuplicate, 6),
        ("admin: 127.0.0.1:7002", "admin: 127.0.0.1:7001", NameDuplicate, 7),
        (
            "admin: 127.0.0.1:7002",
            "admin: 127.0.0.1:7002\n  spare: 1",
            FieldUnknown,
            8,
        ),
        ("table: 127.0.0.1:7100", "table: 7100", FieldOutOfRange, 9),
        ("  timeout_ms: 1000", "  timeout_ms: 9", FieldOutOfRange, 12),
        ("  timeout_ms: 1000", "  timeout_ms: 30001", FieldOutOfRange, 12),
        ("requests_per_second: 50", "requests_per_second: 0", FieldOutOfRange, 13),
        (
            "requests_per_second: 50",
            "requests_per_second: 1001",
            FieldOutOfRange,
            13,
        ),
        ("deadline_s: 30", "deadline_s: -1", FieldOutOfRange, 15),
        ("deadline_s: 30", "deadline_s: 99999999", FieldOutOfRange, 15),
        ("lookup_lifetime_s: 5", "lookup_lifetime_s: 0", FieldOutOfRange, 16),
        ("lookup_lifetime_s: 5", "lookup_lifetime_s: soon", FieldOutOfRange, 16),
        ("freshness: refuse", "freshness: maybe", FieldOutOfRange, 17),
        (
            "freshness_bound_ms: 2000",
            "freshness_bound_ms: 199",
            FieldOutOfRange,
            18,
        ),
        (
            "freshness_bound_ms: 2000",
            "freshness_bound_ms: 60001",
            FieldOutOfRange,
            18,
        ),
        ("threads: 0", "threads: 100000", FieldOutOfRange, 19),
        ("log: info", "log: loud", FieldOutOfRange, 20),
        ("log: info", "log: info\nlog: warn", NameDuplicate, 21),
        ("header_timeout_ms: 30000", "header_timeout_ms: 99", FieldOutOfRange, 22),
        ("body_timeout_ms: 10000", "body_timeout_ms: 300001", FieldOutOfRange, 23),
        ("write_timeout_ms: 10000", "write_timeout_ms: 0", FieldOutOfRange, 24),
        (
            "max_header_bytes: 16384",
            "max_header_bytes: 1000000",
            FieldOutOfRange,
            25,
        ),
        ("max_headers: 100", "max_headers: 9", FieldOutOfRange, 26),
        (
            "max_replay_bytes: 65536",
            "max_replay_bytes: 99999999",
            FieldOutOfRange,
            27,
        ),
        ("max_connections: 10000", "max_connections: 0", FieldOutOfRange, 28),
        ("connect_timeout_ms: 500", "connect_timeout_ms: 9", FieldOutOfRange, 29),
        ("max_tries: 3", "max_tries: 0", FieldOutOfRange, 30),
        ("max_tries: 3", "max_attempts: 3", FieldUnknown, 30),
        // A missing field is reported at the last entry of the section that lacks it.
        ("region: maine\n", "", FieldMissing, 20),
        ("  vms: 127.0.0.1:7102\n", "", FieldMissing, 12),
        ("log: info\n", "log: info\n}\n", SyntaxInvalid, 21),
    ];
    let mut failures = Vec::new();

    for (line, replacement, code, at) in cases {
        let Err(problems) = VmSettings::parse("vm.yaml", &settings_file(line, replacement)) else {
            failures.push(format!("{replacement:?} was accepted"));
            continue;
        };
        let found: Vec<_> = problems.iter().map(|p| (p.code(), p.place().to_owned())).collect();
        if found != [(code, format!("vm.yaml:{at}"))] {
            failures.push(format!("{replacement:?}: {problems}, not {code:?} at line {at}"));
        }
    }

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against only the first of several errors being reported.
#[test]
fn all_errors_of_a_file_are_reported_together() {
    let text = settings_file("threads: 0", "threads: 100000").replace("max_tries: 3", "max_tries: 0");

    let problems = VmSettings::parse("vm.yaml", &text).unwrap_err();

    assert_eq!(problems.iter().count(), 2, "{problems}");
}

/// Guards against an unreadable file that is reported without an error code.
#[test]
fn unreadable_file_is_reported() {
    let problems = VmSettings::load(std::path::Path::new("/nowhere/vm.yaml")).unwrap_err();

    assert_eq!(problems.code(), Code::SettingsUnreadable);
}
