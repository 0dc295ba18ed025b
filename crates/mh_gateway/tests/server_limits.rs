//! Requests to backend servers that state how many they accept.

mod fixtures;
mod harness;

use std::time::Duration;

use harness::{GatewayHarness, Reply};
use tokio::time::Instant;

/// Answer of a server that accepts two requests per second from all VMs together.
const LIMITED: Reply = Reply::Keep(
    "HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\nmangohook-server-limit: 2\r\ncontent-length: 4\r\n\r\ndone",
);

/// Requests that may reach a server with a limit of two per second in `elapsed`, by the rule that binds it.
fn allowed(elapsed: Duration) -> usize {
    5 + (1.5 * 2.0 * elapsed.as_secs_f64().max(4.0)) as usize
}

/// Guards against a server that gets more requests than the limit that it stated.
#[tokio::test]
async fn server_gets_no_more_than_its_stated_limit() {
    let harness = GatewayHarness::start_with_one_server(&[LIMITED; 60]).await;
    let started = Instant::now();

    for _ in 0..60 {
        harness.get("/safe/x").await;
    }

    let arrivals = harness.seen().len();
    assert!(
        arrivals <= allowed(started.elapsed()),
        "{arrivals} in {:?}",
        started.elapsed()
    );
}
