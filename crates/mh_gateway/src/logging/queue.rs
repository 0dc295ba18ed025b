use std::io::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Level;
use tokio::time::Instant;

use super::LineLimit;

/// Lines that wait to be written; a reader that stops for longer loses lines.
const QUEUE_LINES: usize = 512;

/// Time between two writes to standard output. Writing many lines at once costs one system call.
const FLUSH_EVERY: Duration = Duration::from_millis(250);

/// Lines on their way to standard output.
#[derive(Debug)]
pub(super) struct LineQueue {
    limit: LineLimit,
    lines: SyncSender<String>,
    started: Instant,
    /// Second that the counters are for.
    second: AtomicU64,
    info: AtomicU32,
    all: AtomicU32,
    dropped: AtomicU64,
}

impl LineQueue {
    /// Starts the thread that writes to `out`.
    pub(super) fn start(limit: LineLimit, out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        // A failed start leaves the queue without a reader; lines are then dropped and counted.
        let _ = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, out));
        Self {
            limit,
            lines,
            started: Instant::now(),
            second: AtomicU64::new(0),
            info: AtomicU32::new(0),
            all: AtomicU32::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    pub(super) fn push(&self, line: String, level: Level) {
        self.turn_second();
        let all = self.all.fetch_add(1, Ordering::Relaxed);
        let over = all >= self.limit.all_per_s
            || (level >= Level::Info && self.info.fetch_add(1, Ordering::Relaxed) >= self.limit.info_per_s);
        if over || self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn turn_second(&self) {
        let now = self.started.elapsed().as_secs();
        if self.second.swap(now, Ordering::Relaxed) == now {
            return;
        }
        self.info.store(0, Ordering::Relaxed);
        self.all.store(0, Ordering::Relaxed);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event = mh_types::Event::LinesDropped;
            let line = format!(
                "{} {:5} {event} lines={dropped}\n",
                jiff::Timestamp::now(),
                event.level()
            );
            if self.lines.try_send(line).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
    }
}

fn write_lines(queue: &Receiver<String>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        std::thread::sleep(FLUSH_EVERY);
        let mut text = first;
        while let Ok(line) = queue.try_recv() {
            text.push_str(&line);
        }
        // A closed standard output loses lines; the process goes on.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
