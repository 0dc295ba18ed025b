//! `mangohook check` with valid and invalid settings files.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use std::process::Command;

const VALID_SETTINGS: &str = "vm: a-1\ndomain: a\nregion: maine\n\
    listen: {caller: \"127.0.0.1:1\", peer: \"127.0.0.1:2\", admin: \"127.0.0.1:3\"}\n\
    platform: {table: \"127.0.0.1:4\", objects: \"127.0.0.1:4\", vms: \"127.0.0.1:4\"}\n";

/// Runs `mangohook check` on a file with `text`, or on a missing file; returns its exit code and error output.
fn check(text: Option<&str>) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("vm.yaml");
    if let Some(text) = text {
        std::fs::write(&file, text).unwrap();
    }
    let check = Command::new(env!("CARGO_BIN_EXE_mangohook"))
        .args(["check", "--settings"])
        .arg(file)
        .output()
        .unwrap();
    (check.status.code(), String::from_utf8_lossy(&check.stderr).into_owned())
}

/// Guards against an invalid settings file that passes the check, or a valid one that fails it.
#[test]
fn exit_code_distinguishes_valid_from_invalid_settings() {
    let unknown_field = format!("{VALID_SETTINGS}speed: 3\n");
    let out_of_range = format!("{VALID_SETTINGS}limits: {{max_tries: 0}}\n");
    let cases = [
        (Some(VALID_SETTINGS), 0, ""),
        (Some(unknown_field.as_str()), 2, "MH3002"),
        (Some(out_of_range.as_str()), 2, "MH3003"),
        (Some("vm: a\n}\n"), 2, "MH3001"),
        (Some("vm: a-1\n"), 2, "MH3010"),
        (None, 2, "MH9002"),
    ];

    for (text, expected_exit, expected_code) in cases {
        let (exit, errors) = check(text);
        assert_eq!(exit, Some(expected_exit), "{text:?}: {errors}");
        assert!(errors.contains(expected_code), "{text:?}: {errors}");
    }
}
