//! Restart of failed loops.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::*;

/// Guards against a loop that stays stopped for the rest of the process after one unexpected message.
#[tokio::test(start_paused = true)]
async fn panicked_loop_is_restarted() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);

    supervise("test", move || {
        let start = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(start >= 3, "an unexpected message") }
    });
    tokio::time::sleep(RESTART_DELAY * 10).await;

    // The fourth run ends without a panic.
    assert_eq!(starts.load(Ordering::Relaxed), 4);
}
