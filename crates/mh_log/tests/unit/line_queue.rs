//! Log lines above the limit, and blocked or closed standard output.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use super::*;

/// Output that records what is written.
#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no other writer fails").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output whose reader has stopped, so that a write never completes.
struct StalledOutput;

impl Write for StalledOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        std::thread::park_timeout(Duration::from_mins(10));
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output whose reader has gone away.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

const LIMIT: LineLimit = LineLimit {
    info_per_s: 100,
    all_per_s: 140,
};

/// Logs the requests `from..to`: two lines for each that succeeds, and one failure line for every fiftieth.
fn log_requests(queue: &LineQueue, from: usize, to: usize) {
    for n in from..to {
        let at = "2026-12-04T10:00:00Z INFO ";
        for attempt in 0..2 {
            queue.push(
                format!("{at} E204 Answered. request=q{n} attempt={attempt}\n"),
                Level::Info,
            );
        }
        if n.is_multiple_of(50) {
            queue.push(format!("{at} E203 Failed. request=f{n}\n"), Level::Info);
        }
    }
}

/// Guards against a log volume that grows with the load, against requests that are logged only partly, and against
/// dropping failures in favour of successes.
#[tokio::test(start_paused = true)]
async fn sampling_keeps_or_drops_whole_requests() {
    let out = CapturedOutput::default();
    let queue = LineQueue::start(LIMIT, out.clone());
    // The first second establishes the load by which the second one is sampled.
    log_requests(&queue, 0, 1000);
    tokio::time::advance(Duration::from_secs(1)).await;
    log_requests(&queue, 1000, 2000);
    queue.flush(Duration::from_mins(1));

    let text = String::from_utf8_lossy(&out.0.lock().expect("whole")).into_owned();
    let mut lines: BTreeMap<usize, usize> = BTreeMap::new();
    for line in text.lines() {
        let id = request_id(line).and_then(|id| id.strip_prefix('q')?.parse().ok());
        if let Some(id) = id.filter(|id| *id >= 1000) {
            *lines.entry(id).or_default() += 1;
        }
    }

    assert!(lines.len() > 20 && lines.len() <= 70, "{}", lines.len());
    assert!(lines.values().all(|count| *count == 2), "{lines:?}");
    assert_eq!(text.lines().filter(|line| line.contains(" E203 ")).count(), 40);
    assert!(text.contains("E207"));
}

/// Guards against requests that wait for the reader of the log, and against dropping lines without counting them.
#[tokio::test]
async fn blocked_or_closed_output_does_not_block_logging() {
    let before = lines_dropped();
    let outs: [Box<dyn Write + Send>; 2] = [Box::new(StalledOutput), Box::new(ClosedOutput)];
    for out in outs {
        let queue = LineQueue::start(
            LineLimit {
                info_per_s: 100_000,
                all_per_s: 100_000,
            },
            out,
        );
        log_requests(&queue, 0, 2000);
    }

    assert!(lines_dropped() - before >= 2 * (4000 - 2 * QUEUE_LINES as u64 - 100));
}

/// Guards against losing the last lines before exit, which report how the shutdown went.
#[tokio::test]
async fn last_lines_are_written_before_exit() {
    let out = CapturedOutput::default();
    let queue = LineQueue::start(LIMIT, out.clone());
    queue.push("2026-12-04T10:00:00Z INFO  E103 Stopped.\n".to_owned(), Level::Info);

    queue.flush(Duration::from_mins(1));

    assert!(String::from_utf8_lossy(&out.0.lock().expect("whole")).contains("E103"));
}
