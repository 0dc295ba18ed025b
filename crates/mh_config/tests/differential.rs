//! Checks settings and the route table against naive reference implementations.
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

use mh_config::{Change, ChangeRow, Doc, DocPath, FORMAT, Settings, Snapshot};
use mh_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

/// Changes that each set or remove one of five organisations, with the burst to set.
fn changes() -> impl Strategy<Value = Vec<(u8, Option<u32>)>> {
    prop::collection::vec((0..5u8, prop::option::weighted(0.7, 1..100u32)), 1..40)
}

fn route_docs() -> impl Strategy<Value = Vec<(String, Vec<&'static str>)>> {
    let path = prop::collection::vec(prop::sample::select(vec!["a", "ab", "b"]), 0..4)
        .prop_map(|parts| format!("/{}", parts.join("/")));
    let methods = prop::sample::subsequence(vec!["GET", "PUT"], 0..=2);
    prop::collection::vec((path, methods), 0..8)
}

fn request_path() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(vec!["a", "ab", "b", ""]), 0..5)
        .prop_map(|parts| format!("/{}", parts.join("/")))
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a VM that applied changes one by one ending up with other settings than a VM that read all rows.
    #[test]
    fn applying_each_change_equals_reading_all_rows(changes in changes()) {
        let mut incremental = Settings::default();
        let mut rows: std::collections::BTreeMap<String, ChangeRow> = std::collections::BTreeMap::new();
        for (revision, (name, burst)) in (1..).map(Revision).zip(changes) {
            let path = DocPath::parse(&format!("/teams/shop/organisations/o{name}")).unwrap();
            let change = match burst {
                Some(burst) => {
                    let json = format!("{{\"rate_per_second\": 1.5, \"burst\": {burst}}}");
                    Change::set(path.clone(), Doc::from_json(&path, &json).unwrap())
                }
                None => Change::remove(path.clone()),
            };
            let created = rows.get(path.as_str()).map_or(revision, |row| row.created);
            let row = ChangeRow {
                format: FORMAT,
                path: path.to_string(),
                revision,
                created,
                write_id: String::new(),
                by: String::new(),
                at: String::new(),
                doc: change.doc().map(|doc| serde_json::value::RawValue::from_string(doc.to_json()).unwrap()),
            };
            let decoded = ChangeRow::decode("row", &row.encode()).unwrap();
            incremental = incremental.apply_with_created(decoded.revision, decoded.created, &decoded.change().unwrap());
            prop_assert_eq!(incremental.revision(), revision);
            match burst {
                Some(_) => rows.insert(path.to_string(), row),
                None => rows.remove(path.as_str()),
            };
        }

        let texts: Vec<_> = rows.iter().map(|(path, row)| (path.as_str(), row.encode())).collect();
        let from_rows = Settings::from_rows(incremental.revision(), texts.iter().map(|(path, text)| (*path, text.as_str())));

        prop_assert_eq!(from_rows.unwrap(), incremental);
    }

    /// Guards against a request being routed by a shorter prefix than the longest that matches.
    #[test]
    fn a_request_matches_the_route_with_the_longest_prefix(routes in route_docs(), path in request_path()) {
        let mut settings = Settings::default();
        for (i, (prefix, methods)) in (1..).zip(&routes) {
            let at = DocPath::parse(&format!("/teams/shop/routes/r{i}")).unwrap();
            let json = serde_json::json!({
                "service": "s", "path": prefix, "methods": methods, "execution": "idempotent"
            });
            let doc = Doc::from_json(&at, &json.to_string()).unwrap();
            settings = settings.apply(Revision(i), &Change::set(at, doc));
        }
        let table = Snapshot::compile(&settings).routes;

        for method in ["GET", "PUT", "POST"] {
            let matches = |prefix: &str| {
                let prefix = prefix.trim_end_matches('/');
                let path = path.trim_end_matches('/');
                path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            };
            let expected = (1..)
                .zip(&routes)
                .filter(|(_, (prefix, methods))| matches(prefix) && (methods.is_empty() || methods.contains(&method)))
                .max_by_key(|(i, (prefix, _))| (prefix.trim_end_matches('/').len(), std::cmp::Reverse(*i)))
                .map(|(i, _)| format!("shop/r{i}"));

            let found = table.find(method, &path).map(|route| route.name.to_string());

            prop_assert_eq!(found, expected, "{} {}", method, path);
        }
    }
}
