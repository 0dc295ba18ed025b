//! The platform's table comes back from an older copy.

mod support;

use serde_json::json;
use support::TestSystem;

/// Guards against settings that can no longer be changed, because every VM holds a higher revision than the table.
#[tokio::test(flavor = "multi_thread")]
async fn settings_can_be_changed_after_the_table_was_restored() {
    let system = TestSystem::start(2).await;
    let copy = system.platform().table().copy();
    let key = system.grant_key("orchard", "till").await;

    system.platform().table().restore(copy);
    let reply = system
        .set(
            "/teams/shop/organisations/vineyard",
            &json!({"rate_per_second": 5.0, "burst": 5}),
        )
        .await;

    assert!(reply.status.is_success(), "{}", reply.text());
    // What was accepted before stays in force.
    let caller = mh_standin::Caller::new(Some(&key));
    for vm in [0, 1] {
        assert_eq!(
            caller
                .get(system.vm(vm).caller, support::STOCK_PATH)
                .await
                .unwrap()
                .status,
            200
        );
    }
}
