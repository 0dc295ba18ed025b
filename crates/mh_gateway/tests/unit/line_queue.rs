//! Log lines beyond the limit, and readers that stop or go away.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use super::*;

/// Standard output that keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no other writer fails").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Standard output whose reader has stopped: a write never ends.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        std::thread::park_timeout(Duration::from_mins(10));
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Standard output whose reader has gone away.
struct Closed;

impl Write for Closed {
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

/// Lines of the requests `from..to`, two of each that ends well and one of each tenth, which fails.
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

/// Guards against a volume of lines that grows with the load, against requests of which only a part is told, and against
/// failures that are left out for successes.
#[tokio::test(start_paused = true)]
async fn beyond_the_limit_whole_requests_are_left_out() {
    let out = Kept::default();
    let queue = LineQueue::start(LIMIT, out.clone());
    // The first second shows the load; the second one is sampled by it.
    log_requests(&queue, 0, 1000);
    tokio::time::advance(Duration::from_secs(1)).await;
    log_requests(&queue, 1000, 2000);
    queue.flush(Duration::from_mins(1));

    let text = String::from_utf8_lossy(&out.0.lock().expect("whole")).into_owned();
    let mut lines: BTreeMap<usize, usize> = BTreeMap::new();
    for line in text.lines() {
        let id = request_of(line).and_then(|id| id.strip_prefix('q')?.parse().ok());
        if let Some(id) = id.filter(|id| *id >= 1000) {
            *lines.entry(id).or_default() += 1;
        }
    }

    assert!(lines.len() > 20 && lines.len() <= 70, "{}", lines.len());
    assert!(lines.values().all(|count| *count == 2), "{lines:?}");
    assert_eq!(text.lines().filter(|line| line.contains(" E203 ")).count(), 40);
    assert!(text.contains("E207"));
}

/// Guards against a request that waits for the reader of the log, and against lines that are lost without a word.
#[tokio::test]
async fn a_reader_that_stops_or_goes_away_holds_nobody_up() {
    let before = lines_dropped();
    let outs: [Box<dyn Write + Send>; 2] = [Box::new(Stuck), Box::new(Closed)];
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

/// Guards against a process whose last lines, which tell how its stop went, are never written.
#[tokio::test]
async fn the_last_lines_are_written_before_the_end() {
    let out = Kept::default();
    let queue = LineQueue::start(LIMIT, out.clone());
    queue.push("2026-12-04T10:00:00Z INFO  E103 Stopped.\n".to_owned(), Level::Info);

    queue.flush(Duration::from_mins(1));

    assert!(String::from_utf8_lossy(&out.0.lock().expect("whole")).contains("E103"));
}
