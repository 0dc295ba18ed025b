use std::hash::Hasher;
use std::io::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Level;
use mh_types::Event;
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use super::LineLimit;

/// Lines that wait to be written; a reader that stops for longer loses lines.
const QUEUE_LINES: usize = 512;

/// Time between two writes to standard output. Writing many lines at once costs one system call.
const FLUSH_EVERY: Duration = Duration::from_millis(250);

/// What the writing thread gets.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Asks to write everything at once, and to say so.
    Flush(SyncSender<()>),
}

/// Lines on their way to standard output.
#[derive(Debug)]
pub(super) struct LineQueue {
    limit: LineLimit,
    lines: SyncSender<Entry>,
    started: Instant,
    /// Second that the counters are for.
    second: AtomicU64,
    /// Lines of level info or below that were wanted, and that were written, in this second.
    info: AtomicU32,
    info_written: AtomicU32,
    /// Lines written in this second.
    all: AtomicU32,
    dropped: AtomicU64,
    /// Requests whose lines are written, as a part of 2^16, by the hash of their ids.
    sampled: AtomicU32,
}

/// Part of the limit that the sampled requests are to fill. The load rises and falls, and a request whose lines meet the
/// limit is told in part.
const SAMPLED_PART: f64 = 0.8;

/// All of the requests in [`LineQueue::sampled`].
const ALL_REQUESTS: u32 = 1 << 16;

/// Lines left out since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines left out since the process started.
pub(crate) fn lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
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
            info_written: AtomicU32::new(0),
            all: AtomicU32::new(0),
            dropped: AtomicU64::new(0),
            sampled: AtomicU32::new(ALL_REQUESTS),
        }
    }

    /// Adds a line. Beyond the limit a part of the requests is chosen by their ids, so that all lines of one request are
    /// written or none, and lines that tell of failures go before all others.
    pub(super) fn push(&self, line: String, level: Level) {
        self.turn_second();
        let is_usual = level >= Level::Info && !is_failure(&line);
        let is_left_out = if is_usual {
            self.info.fetch_add(1, Ordering::Relaxed);
            let request = request_of(&line);
            let is_sampled = request.is_none_or(|id| part_of(id) < self.sampled.load(Ordering::Relaxed));
            !is_sampled || self.info_written.fetch_add(1, Ordering::Relaxed) >= self.limit.info_per_s
        } else {
            false
        };
        let is_over = is_left_out || self.all.fetch_add(1, Ordering::Relaxed) >= self.limit.all_per_s;
        if is_over || self.lines.try_send(Entry::Line(line)).is_err() {
            self.drop_one();
        }
    }

    /// Waits until the lines so far are written, for at most `limit`; for the end of the process.
    pub(super) fn flush(&self, limit: Duration) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Entry::Flush(done)).is_ok() {
            // A reader that has stopped loses the lines.
            let _ = written.recv_timeout(limit);
        }
    }

    fn drop_one(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }

    fn turn_second(&self) {
        let now = self.started.elapsed().as_secs();
        if self.second.swap(now, Ordering::Relaxed) == now {
            return;
        }
        // The second before tells how many lines this one will have.
        let usual = self.info.swap(0, Ordering::Relaxed).max(1);
        let wanted = f64::from(self.limit.info_per_s) * SAMPLED_PART;
        let part = (wanted * f64::from(ALL_REQUESTS) / f64::from(usual)) as u64;
        self.sampled
            .store(part.min(u64::from(ALL_REQUESTS)) as u32, Ordering::Relaxed);
        self.info_written.store(0, Ordering::Relaxed);
        self.all.store(0, Ordering::Relaxed);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event = mh_types::Event::LinesDropped;
            let line = format!(
                "{} {:5} {event} lines={dropped}\n",
                jiff::Timestamp::now(),
                event.level()
            );
            if self.lines.try_send(Entry::Line(line)).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
    }
}

/// Events of requests that did not end well.
const FAILURES: [Event; 5] = [
    Event::RequestFailed,
    Event::AttemptFailed,
    Event::NoServerChosen,
    Event::QuotaRefused,
    Event::RequestTurnedAway,
];

fn is_failure(line: &str) -> bool {
    let mut words = line.split_ascii_whitespace().skip(2);
    let number = words.next().and_then(|word| word.strip_prefix('E')?.parse().ok());
    number.is_some_and(|number: u16| FAILURES.iter().any(|event| event.number() == number))
}

/// The id of the request that a line is about.
fn request_of(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once(" request=")?;
    rest.split_ascii_whitespace().next()
}

/// Place of a request's id among all, from 0 to [`ALL_REQUESTS`].
fn part_of(id: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_bytes());
    (hasher.finish() >> 48) as u32
}

fn write_lines(queue: &Receiver<Entry>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        if matches!(first, Entry::Line(_)) {
            std::thread::sleep(FLUSH_EVERY);
        }
        let mut text = String::new();
        let mut flushed = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(done) => flushed.push(done),
            }
        }
        // A closed standard output loses lines; the process goes on.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flushed {
            // The one that asked may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/line_queue.rs"]
mod tests;
