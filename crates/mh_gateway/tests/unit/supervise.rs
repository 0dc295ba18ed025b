//! Loops that fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::*;

/// Guards against a loop that stays away for the rest of the process's life after one unexpected message.
#[tokio::test(start_paused = true)]
async fn a_loop_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);

    supervise("test", move || {
        let start = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(start >= 3, "an unexpected message") }
    });
    tokio::time::sleep(RESTART * 10).await;

    // The fourth run ends by itself.
    assert_eq!(starts.load(Ordering::Relaxed), 4);
}
