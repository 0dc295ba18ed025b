//! Checks that the parser accepts the examples of docs/settings.md.

use mh_config::{Doc, DocPath};
use mh_node::VmSettings;

/// The YAML blocks of the page, in order.
fn yaml_blocks() -> Vec<&'static str> {
    let page = include_str!("../docs/settings.md");
    page.split("```yaml\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect()
}

/// Guards against a documented example that the parser rejects.
#[test]
fn every_example_is_accepted() {
    let yaml_blocks = yaml_blocks();
    let paths = [
        "/system/topology",
        "/teams/shop/services/stock",
        "/teams/shop/routes/stock",
        "/teams/shop/organisations/orchard",
        "/teams/shop/shifts/v2",
        "/teams/shop/drains/s1",
    ];

    VmSettings::parse("settings.md", yaml_blocks[0]).expect("the VM's settings file");

    assert_eq!(yaml_blocks.len(), paths.len() + 1);
    for (path, block) in paths.iter().zip(&yaml_blocks[1..]) {
        let path = DocPath::parse(path).expect("a settings path");
        let value: serde_json::Value = serde_saphyr::from_str(block).expect("YAML");
        Doc::from_json(&path, &value.to_string()).unwrap_or_else(|problems| panic!("{path}: {problems}"));
    }
}
