//! Rejection of invalid documents, paths, references and rows.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use mh_config::{CallerKey, Change, ChangeRow, Doc, DocPath, Problems, Settings};
use mh_types::{Code, Revision};
use serde_json::{Value, json};

fn path(text: &str) -> DocPath {
    let text = if text.starts_with('/') {
        text.to_owned()
    } else {
        format!("/teams/shop/{text}")
    };
    DocPath::parse(&text).unwrap()
}

fn doc(at: &str, value: &Value) -> Result<Doc, Problems> {
    Doc::from_json(&path(at), &value.to_string())
}

/// A valid document of every kind.
fn valid_docs() -> Vec<(&'static str, Value)> {
    let server = json!({"name": "s1", "addr": "127.0.0.1:1", "domain": "a", "slots": 3, "connections": 30});
    let hash = CallerKey::new("shop", "till", &[7; 32]).hash();
    vec![
        ("services/stock", json!({"servers": [server]})),
        ("organisations/orchard", json!({"rate_per_second": 50.0, "burst": 10})),
        (
            "routes/stock",
            json!({"service": "stock", "path": "/stock", "methods": ["GET"], "execution": "idempotent"}),
        ),
        ("keys/till", json!({"organisation": "orchard", "hash": hash})),
        (
            "shifts/v2",
            json!({"service": "stock", "from": "v1", "to": "v2", "cap_percent": 10.0, "deadline": "2030-01-01T00:00:00Z"}),
        ),
        ("drains/d1", json!({"service": "stock", "server": "s1"})),
        (
            "/system/topology",
            json!({"domains": [{"name": "a", "region": "maine"}]}),
        ),
        ("/system/roster", json!({"members": [{"vm": "vm-1", "domain": "a"}]})),
    ]
}

fn settings() -> Settings {
    (1..)
        .zip(valid_docs())
        .fold(Settings::default(), |settings, (revision, (at, value))| {
            let change = Change::set(path(at), doc(at, &value).unwrap());
            settings.check(&change).unwrap();
            settings.apply(Revision(revision), &change)
        })
}

/// Guards against accepting a document that is not JSON, has unknown or repeated fields, or lacks required ones.
#[test]
fn every_kind_rejects_bad_syntax_and_unknown_or_missing_fields() {
    for (at, value) in valid_docs() {
        let mut unknown = value.clone();
        unknown["speed"] = json!(3);
        let field = value.as_object().unwrap().keys().next().unwrap().clone();
        let text = value.to_string();
        let duplicate = format!("{{{:?}:{},{}", field, value[&field], &text[1..]);
        let positional = Value::Array(value.as_object().unwrap().values().cloned().collect()).to_string();
        let cases = [
            (String::new(), Code::SyntaxInvalid),
            ("not json".to_owned(), Code::SyntaxInvalid),
            (text[..text.len() - 1].to_owned(), Code::SyntaxInvalid),
            (format!("{text} {text}"), Code::SyntaxInvalid),
            (unknown.to_string(), Code::FieldUnknown),
            (duplicate, Code::NameDuplicate),
            ("null".to_owned(), Code::FieldOutOfRange),
            (positional, Code::FieldOutOfRange),
            ("{}".to_owned(), Code::FieldMissing),
        ];
        for (text, code) in cases {
            let problems = Doc::from_json(&path(at), &text).expect_err(&text);
            assert_eq!(problems.code(), code, "{at} {text}: {problems}");
        }
    }
}

/// Guards against accepting a value out of range or a name used twice.
#[test]
fn values_out_of_range_and_duplicate_names_are_rejected() {
    use Code::{FieldMissing, FieldOutOfRange, NameDuplicate};
    let cases = [
        ("services/stock", "/servers/0/slots", json!(0), FieldOutOfRange),
        (
            "services/stock",
            "/servers/0/connections",
            json!(2_000_000),
            FieldOutOfRange,
        ),
        ("services/stock", "/servers/0/addr", json!("maine:80"), FieldOutOfRange),
        ("services/stock", "/servers/0/name", json!("a b"), FieldOutOfRange),
        ("organisations/orchard", "/rate_per_second", json!(0), FieldOutOfRange),
        ("organisations/orchard", "/burst", json!(-1), FieldOutOfRange),
        ("routes/stock", "/path", json!("stock"), FieldOutOfRange),
        ("routes/stock", "/path", json!("/a//b"), FieldOutOfRange),
        (
            "routes/stock",
            "/path",
            json!("/.well-known/mangohook/x"),
            FieldOutOfRange,
        ),
        ("routes/stock", "/methods", json!(["get"]), FieldOutOfRange),
        ("routes/stock", "/methods", json!(["GET", "GET"]), NameDuplicate),
        ("routes/stock", "/execution", json!("twice"), FieldOutOfRange),
        ("keys/till", "/hash", json!("00"), FieldOutOfRange),
        ("shifts/v2", "/cap_percent", json!(101), FieldOutOfRange),
        ("shifts/v2", "/to", json!("v1"), NameDuplicate),
        ("shifts/v2", "/deadline", json!("soon"), FieldOutOfRange),
        ("drains/d1", "/server", Value::Null, FieldMissing),
        ("/system/topology", "/domains/0/name", json!(""), FieldOutOfRange),
        ("/system/roster", "/members/0/vm", json!("a b"), FieldOutOfRange),
    ];
    for (at, pointer, value, code) in cases {
        let mut bad = valid_docs().into_iter().find(|(other, _)| *other == at).unwrap().1;
        *bad.pointer_mut(pointer).unwrap() = value;
        let problems = doc(at, &bad).expect_err(pointer);
        assert_eq!(problems.code(), code, "{at} {bad}: {problems}");
    }
    for (at, list) in [
        ("services/stock", "servers"),
        ("/system/topology", "domains"),
        ("/system/roster", "members"),
    ] {
        let mut bad = valid_docs().into_iter().find(|(other, _)| *other == at).unwrap().1;
        let first = bad[list][0].clone();
        bad[list].as_array_mut().unwrap().push(first);
        assert_eq!(doc(at, &bad).unwrap_err().code(), NameDuplicate, "{at}");
    }
}

/// Guards against a change that leaves a reference to a missing document, or two documents with the same match.
#[test]
fn changes_that_break_references_or_matches_are_rejected() {
    let settings = settings();
    let hash = &valid_docs()[3].1["hash"];
    let set = [
        (
            "routes/n",
            json!({"service": "none", "path": "/n", "execution": "idempotent"}),
            Code::ReferenceMissing,
        ),
        (
            "routes/n",
            json!({"service": "stock", "path": "/n", "execution": "idempotent", "organisations": ["none"]}),
            Code::ReferenceMissing,
        ),
        (
            "routes/n",
            json!({"service": "stock", "path": "/stock/", "execution": "idempotent"}),
            Code::MatchTaken,
        ),
        (
            "keys/n",
            json!({"organisation": "none", "hash": "00".repeat(32)}),
            Code::ReferenceMissing,
        ),
        (
            "keys/n",
            json!({"organisation": "orchard", "hash": hash}),
            Code::MatchTaken,
        ),
        (
            "drains/n",
            json!({"service": "none", "server": "s1"}),
            Code::ReferenceMissing,
        ),
        (
            "drains/n",
            json!({"service": "stock", "server": "none"}),
            Code::ReferenceMissing,
        ),
        (
            "shifts/n",
            json!({"service": "stock", "from": "v1", "to": "v3", "cap_percent": 1, "deadline": "2030-01-01T00:00:00Z"}),
            Code::MatchTaken,
        ),
    ];

    for (at, value, code) in set {
        let problems = settings
            .check(&Change::set(path(at), doc(at, &value).unwrap()))
            .expect_err(at);
        assert_eq!(problems.code(), code, "{value}: {problems}");
    }
    for (at, code) in [
        ("services/stock", Code::StillReferenced),
        ("organisations/orchard", Code::StillReferenced),
        ("routes/none", Code::PathNotFound),
    ] {
        assert_eq!(
            settings.check(&Change::remove(path(at))).unwrap_err().code(),
            code,
            "{at}"
        );
    }
    let same = settings.get(&path("keys/till")).unwrap();
    settings
        .check(&Change::set(path("keys/till"), Doc::clone(&same.doc)))
        .unwrap();
}

/// Guards against accepting a path that addresses another team's document, or none.
#[test]
fn malformed_paths_are_rejected() {
    let long = format!("/teams/shop/routes/{}", "x".repeat(64));
    for text in [
        "",
        "/",
        "teams/shop/routes/a",
        "/teams/shop/routes",
        "/teams/shop/routes/",
        "/teams/shop/routes/a/b",
        "/teams/shop/routes/..",
        "/teams/./routes/a",
        "/teams/shop/rules/a",
        "/teams/Shop/routes/a",
        "/teams/shop/routes/a b",
        "/teams/shop/routes/a%2fb",
        "/system/roster/x",
        "/system/other",
        &long,
    ] {
        assert_eq!(
            DocPath::parse(text).expect_err(text).code(),
            Code::PathInvalid,
            "{text}"
        );
    }
}

/// Guards against settings that lack the documents of rows from a newer version or of damaged rows.
#[test]
fn every_undecodable_row_is_reported_and_no_settings_are_built() {
    let row = |format: u32, at: &str, doc: &Value| {
        json!({"format": format, "path": at, "revision": 1, "created": 1, "write_id": "w", "doc": doc}).to_string()
    };
    let org = json!({"rate_per_second": 1.0, "burst": 1});
    let at = "/teams/shop/organisations/orchard";
    let rows = [
        ("good", row(1, at, &org), None),
        (
            "newer",
            json!({"format": 2, "anything": []}).to_string(),
            Some(Code::FormatUnknown),
        ),
        ("garbage", "{not a row".to_owned(), Some(Code::RowUndecodable)),
        ("no format", "{}".to_owned(), Some(Code::RowUndecodable)),
        ("bad path", row(1, "/teams/shop", &org), Some(Code::PathInvalid)),
        (
            "bad document",
            row(1, at, &json!({"burst": 1})),
            Some(Code::FieldMissing),
        ),
    ];

    let result = Settings::from_rows(Revision(9), rows.iter().map(|(place, text, _)| (*place, text.as_str())));

    let reported: Vec<_> = result.unwrap_err().iter().map(mh_config::Problem::code).collect();
    let expected: Vec<_> = rows.iter().filter_map(|(_, _, code)| *code).collect();
    assert_eq!(reported, expected);
}

/// Guards against a key or its hash being written to the log.
#[test]
fn keys_and_hashes_are_hidden_from_debug_output() {
    let key = CallerKey::new("shop", "till", &[7; 32]);
    let settings = settings();
    let hash = String::from(key.hash());

    let text = format!(
        "{key:?} {:?} {settings:?} {:?}",
        key.hash(),
        mh_config::Snapshot::compile(&settings)
    );

    assert!(!text.contains(&hash) && !text.contains(&"07".repeat(8)), "{text}");
    let row = ChangeRow::decode("row", "{").unwrap_err();
    assert!(!format!("{row:?}").contains(&hash));
}
