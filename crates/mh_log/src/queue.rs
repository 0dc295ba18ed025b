use std::hash::Hasher;
use std::io::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Level;
use mh_types::Event;
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::LineLimit;

/// Capacity of the queue in lines. While the output is blocked, further lines are dropped.
const QUEUE_LINES: usize = 512;

/// Time between two writes to the output. Writing many lines at once takes one system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Message to the writer thread.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Request to write everything at once and to confirm it.
    Flush(SyncSender<()>),
}

/// Bounded queue of log lines in front of the output.
#[derive(Debug)]
pub(crate) struct LineQueue {
    limit: LineLimit,
    lines: SyncSender<Entry>,
    started: Instant,
    /// Second, counted from the start, that the counters belong to.
    current_second: AtomicU64,
    /// Lines of level info or lower that were submitted in this second.
    info_offered: AtomicU32,
    /// Lines of level info or lower that passed the sampling in this second.
    info_written: AtomicU32,
    /// Lines accepted in this second, over all levels.
    written: AtomicU32,
    dropped: AtomicU64,
    /// Requests whose hashed id, out of 2^16 values, lies below this value are logged; [`SAMPLE_RANGE`] logs all.
    sample_limit: AtomicU32,
}

/// Fraction of the limit that sampled requests may use. The load varies, and a request whose lines exceed the limit is
/// logged only partly.
const SAMPLING_TARGET: f64 = 0.8;

/// Number of possible hash values of a request id; [`LineQueue::sample_limit`] is a part of it.
const SAMPLE_RANGE: u32 = 1 << 16;

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

impl LineQueue {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(limit: LineLimit, out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        // If the thread fails to start, the queue has no reader; lines are then dropped and counted.
        let _ = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, out));
        Self {
            limit,
            lines,
            started: Instant::now(),
            current_second: AtomicU64::new(0),
            info_offered: AtomicU32::new(0),
            info_written: AtomicU32::new(0),
            written: AtomicU32::new(0),
            dropped: AtomicU64::new(0),
            sample_limit: AtomicU32::new(SAMPLE_RANGE),
        }
    }

    /// Queues a line. Above the limit, requests are sampled by id, so that either all lines of a request are written
    /// or none. Lines about failures take precedence over all others.
    pub(crate) fn push(&self, line: String, level: Level) {
        self.roll_over_second();
        let is_sampling_candidate = level >= Level::Info && !is_failure(&line);
        let is_sampled_out = if is_sampling_candidate {
            self.info_offered.fetch_add(1, Ordering::Relaxed);
            let request = request_id(&line);
            let is_sampled = request.is_none_or(|id| sample_position(id) < self.sample_limit.load(Ordering::Relaxed));
            !is_sampled || self.info_written.fetch_add(1, Ordering::Relaxed) >= self.limit.info_per_s
        } else {
            false
        };
        let is_dropped = is_sampled_out || self.written.fetch_add(1, Ordering::Relaxed) >= self.limit.all_per_s;
        if is_dropped || self.lines.try_send(Entry::Line(line)).is_err() {
            self.count_dropped();
        }
    }

    /// Waits up to `limit` until the lines queued so far are written; called before the process exits.
    pub(crate) fn flush(&self, limit: Duration) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Entry::Flush(done)).is_ok() {
            // If the output is blocked, the lines are lost.
            let _ = written.recv_timeout(limit);
        }
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }

    /// Resets the counters at the start of a new second and reports the dropped lines.
    fn roll_over_second(&self) {
        let now = self.started.elapsed().as_secs();
        if self.current_second.swap(now, Ordering::Relaxed) == now {
            return;
        }
        // The load of the previous second serves as the estimate for this one.
        let offered = self.info_offered.swap(0, Ordering::Relaxed).max(1);
        let target = f64::from(self.limit.info_per_s) * SAMPLING_TARGET;
        let sample_limit = (target * f64::from(SAMPLE_RANGE) / f64::from(offered)) as u64;
        self.sample_limit
            .store(sample_limit.min(u64::from(SAMPLE_RANGE)) as u32, Ordering::Relaxed);
        self.info_written.store(0, Ordering::Relaxed);
        self.written.store(0, Ordering::Relaxed);
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

/// Events that report a failed request or attempt.
const FAILURE_EVENTS: [Event; 6] = [
    Event::AdmissionRefused,
    Event::RequestFailed,
    Event::AttemptFailed,
    Event::NoServerChosen,
    Event::QuotaRefused,
    Event::RequestTurnedAway,
];

fn is_failure(line: &str) -> bool {
    let mut words = line.split_ascii_whitespace().skip(2);
    let number = words.next().and_then(|word| word.strip_prefix('E')?.parse().ok());
    number.is_some_and(|number: u16| FAILURE_EVENTS.iter().any(|event| event.number() == number))
}

/// Returns the id of the request that a line belongs to.
fn request_id(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once(" request=")?;
    rest.split_ascii_whitespace().next()
}

/// Maps a request id to a value from 0 to [`SAMPLE_RANGE`].
fn sample_position(id: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_bytes());
    (hasher.finish() >> 48) as u32
}

fn write_lines(queue: &Receiver<Entry>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        if matches!(first, Entry::Line(_)) {
            std::thread::sleep(FLUSH_INTERVAL);
        }
        let mut text = String::new();
        let mut flush_requests = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(done) => flush_requests.push(done),
            }
        }
        // If the output is closed, the lines are lost and the process continues.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flush_requests {
            // The requester may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/line_queue.rs"]
mod tests;
