//! Tests of parsing and printing operation ids, and of request fingerprints.

use std::time::Duration;

use expect_test::expect;
use mh_once::{Fingerprint, InvalidOpId, IssuedId, OpId, OpIdIssuer, Owner};
use mh_types::{Incarnation, OrgName, VmName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

fn runner(cases: u32) -> TestRunner {
    let cfg = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn issued() -> impl Strategy<Value = IssuedId> {
    ("[a-z.%ž-]{1,12}", any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(vm, incarnation, issued_ms, nonce)| {
        IssuedId {
            vm: VmName::from(vm),
            incarnation: Incarnation(incarnation),
            issued_ms,
            nonce,
        }
    })
}

fn org() -> OrgName {
    OrgName::from("sales/acme")
}

/// Guards against an id that changes between printing and parsing, or whose printed form is not safe in a header.
#[test]
fn printed_ids_round_trip() {
    runner(2_000)
        .run(&issued(), |id| {
            let text = OpId::Issued(id.clone()).to_string();
            prop_assert!(
                text.bytes()
                    .all(|byte| byte.is_ascii_graphic() && byte != b'"' && byte != b',')
            );
            prop_assert_eq!(OpId::parse(&text, None), Ok(OpId::Issued(id.clone())));
            prop_assert_eq!(OpId::parse(&format!("\"{text}\""), Some(&org())), Ok(OpId::Issued(id)));
            Ok(())
        })
        .unwrap();
}

/// Guards against a change of the printed form, which would invalidate ids already issued to callers.
#[test]
fn printed_form_is_stable() {
    let id = IssuedId {
        vm: VmName::from("západ-1"),
        incarnation: Incarnation(255),
        issued_ms: 16,
        nonce: 7,
    };

    expect!["mh1.z%c3%a1pad-1.ff.10.7.62d5f5f0.mh1"].assert_eq(&id.to_string());
}

/// Guards against accepting a mistyped system-issued id as a caller-supplied id or as another system-issued id, which
/// would run the operation again.
#[test]
fn mistyped_issued_id_is_refused() {
    let edit = (issued(), any::<prop::sample::Index>(), 0..5_u8, "[!-~]");
    runner(20_000)
        .run(&edit, |(id, at, kind, with)| {
            let text = id.to_string();
            let at = at.index(text.len());
            let (head, tail) = text.split_at(at);
            let wrong = match kind {
                0 => format!("{head}{with}{}", &tail[1..]),
                1 => format!("{head}{with}{tail}"),
                2 => format!("{head}{}", &tail[1..]),
                3 if tail.len() > 1 => format!("{head}{}{}{}", &tail[1..2], &tail[..1], &tail[2..]),
                _ => format!("{head}{}", tail.to_ascii_uppercase()),
            };
            prop_assume!(wrong != text);
            prop_assert_eq!(OpId::parse(&wrong, Some(&org())), Err(InvalidOpId::MalformedIssuedId));
            Ok(())
        })
        .unwrap();
}

/// Guards against accepting a caller-supplied id that has an invalid length or characters, or has no organisation.
#[test]
fn invalid_caller_ids_are_refused() {
    let long = "x".repeat(256);
    for text in ["", "\"\"", "a b", "naïve", "tab\t", &long] {
        assert_eq!(
            OpId::parse(text, Some(&org())),
            Err(InvalidOpId::LengthOrCharacters),
            "{text:?}"
        );
    }
    assert_eq!(OpId::parse("order-17", None), Err(InvalidOpId::NoOrganisation));
}

/// Guards against treating the same caller-supplied id of two organisations as one operation, and against quotes that
/// change the id.
#[test]
fn caller_ids_are_scoped_to_their_organisation() {
    let other = OrgName::from("sales/other");

    assert_ne!(
        OpId::parse("order-17", Some(&org())),
        OpId::parse("order-17", Some(&other))
    );
    assert_eq!(
        OpId::parse("order-17", Some(&org())),
        OpId::parse("\"order-17\"", Some(&org()))
    );
}

/// Guards against a poor random source that gives two callers the same id, and so the same answer.
#[test]
fn issued_ids_are_unique_without_randomness() {
    let now = Instant::now();
    let issuer = OpIdIssuer::new(Owner::new(VmName::from("vm-1"), Incarnation(1), now));

    let ids: std::collections::HashSet<_> = (0..10_000)
        .map(|_| issuer.issue(now + Duration::from_secs(1), 0))
        .collect();

    assert_eq!(ids.len(), 10_000);
}

/// Guards against one fingerprint for different requests that differ only in the boundaries between their parts.
#[test]
fn different_requests_have_different_fingerprints() {
    let org = OrgName::from("a");
    let fingerprints = [
        Fingerprint::new(Some(&org), "POST", "/x", b"1"),
        Fingerprint::new(None, "POST", "/x", b"1"),
        Fingerprint::new(None, "POST", "/x1", b""),
        Fingerprint::new(None, "POS", "T/x", b"1"),
        Fingerprint::new(Some(&OrgName::from("aP")), "OST", "/x", b"1"),
    ];

    let distinct: std::collections::HashSet<_> = fingerprints.into_iter().collect();

    assert_eq!(distinct.len(), fingerprints.len());
    assert_eq!(Fingerprint::from_bits(fingerprints[0].to_bits()), fingerprints[0]);
}
