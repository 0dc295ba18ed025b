mod allowance;
mod span;
mod word;
mod writer;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

pub use allowance::Allowance;
pub use writer::{MeterWriter, Moved, TokenMove};

use crate::budget::MICROS;
use span::{RATE_FRACTION_BITS, Span, SpanValues};
use word::{LEVEL_BITS, Word};

/// Spans kept at once. The writer fills the next one while readers use the current one; the others spare a slow reader
/// the reading of a half-written span.
const SPANS: usize = 4;

/// Atomic token bucket on the request path.
///
/// Clones share one bucket. Its level, time and share change together in one compare-and-swap, so a take never counts
/// fill of a share that was already withdrawn. The share is set through the one [`MeterWriter`].
///
/// A meter rounds against itself: it counts time in whole microseconds and fill and cost in whole steps
/// ([`step_micros`](Self::step_micros)), fill rounded down and cost rounded up.
#[derive(Clone, Debug)]
pub struct Meter(Arc<Core>);

#[derive(Debug)]
struct Core {
    origin: Instant,
    shift: u32,
    word: AtomicU64,
    spans: [Span; SPANS],
    asked: AtomicU64,
}

impl Meter {
    /// Size of the state that clones share, in bytes.
    pub const MEMORY_BYTES: usize = size_of::<Core>();

    /// An empty meter without a share, for shares of up to `max_burst` millionths of a token.
    pub fn new(now: Instant, max_burst: u64) -> (Self, MeterWriter) {
        let shift = (u64::BITS - max_burst.leading_zeros()).saturating_sub(LEVEL_BITS);
        let core = Core {
            origin: now,
            shift,
            word: AtomicU64::new(Word::default().pack()),
            spans: Default::default(),
            asked: AtomicU64::new(0),
        };
        let meter = Self(Arc::new(core));
        (meter.clone(), MeterWriter::new(meter))
    }

    /// Takes `n` tokens if the meter holds them at `now`.
    ///
    /// `now` must be read for this call. A thread that can pause between reading the clock and this call uses
    /// [`try_take_with`](Self::try_take_with).
    pub fn try_take(&self, now: Instant, n: u32) -> bool {
        self.take(now, n).is_some()
    }

    /// Takes `n` tokens and reads the clock again afterwards, so that a pause in between admits nothing on a share
    /// that has ended.
    ///
    /// Tokens that were taken before such a pause are lost.
    pub fn try_take_with(&self, clock: impl Fn() -> Instant, n: u32) -> bool {
        self.take(clock(), n).is_some_and(|valid_until| clock() < valid_until)
    }

    /// Tokens held at `now`, in millionths.
    pub fn level_micros(&self, now: Instant) -> u64 {
        let word = Word::unpack(self.0.word.load(Ordering::Acquire));
        let span = self.span(word);
        span.settle(word, self.since(now, &span)).level << self.0.shift
    }

    /// How long until `n` tokens are there if nobody else takes any; `None` when the share never holds that many.
    pub fn wait_for(&self, now: Instant, n: u32) -> Option<Duration> {
        let word = Word::unpack(self.0.word.load(Ordering::Acquire));
        let span = self.span(word);
        let at = self.since(now, &span);
        let level = span.settle(word, at).level;
        let (rate, cap) = span.rate_and_cap(at);
        let cost = self.cost(n);
        if cost > cap || rate == 0 {
            return None;
        }
        let steps = u128::from(cost.saturating_sub(level));
        let micros = (steps << RATE_FRACTION_BITS).div_ceil(u128::from(rate));
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Smallest amount that the meter counts, in millionths of a token.
    ///
    /// A take costs at most two steps more than it would without rounding, and a change of share at most one.
    pub fn step_micros(&self) -> u64 {
        1 << self.0.shift
    }

    /// Tokens that were asked for through [`note_asked`](Self::note_asked) since the start.
    pub fn asked(&self) -> u64 {
        self.0.asked.load(Ordering::Relaxed)
    }

    /// Counts `n` tokens as demand of this VM, whether they are admitted or not.
    pub fn note_asked(&self, n: u32) {
        self.0.asked.fetch_add(u64::from(n), Ordering::Relaxed);
    }

    /// Takes `n` tokens and returns when the share that they came from ends.
    fn take(&self, now: Instant, n: u32) -> Option<Instant> {
        let cost = self.cost(n);
        let mut bits = self.0.word.load(Ordering::Acquire);
        loop {
            let word = Word::unpack(bits);
            let span = self.span(word);
            let at = self.since(now, &span);
            let settled = span.settle(word, at);
            let level = settled.level.checked_sub(cost)?;
            if at.max(word.time) >= span.own_until {
                return None;
            }
            let next = span.after_take(settled, at, level, cost).pack();
            match self
                .0
                .word
                .compare_exchange_weak(bits, next, Ordering::AcqRel, Ordering::Acquire)
            {
                Ok(_) => {
                    let end = if settled.time < span.full_until {
                        span.full_until
                    } else {
                        span.own_until
                    };
                    return Some(self.0.origin + Duration::from_micros(span.start + end));
                }
                Err(current) => bits = current,
            }
        }
    }

    fn span(&self, word: Word) -> SpanValues {
        self.0.spans[word.span as usize % SPANS].load()
    }

    fn since(&self, now: Instant, span: &SpanValues) -> u64 {
        self.micros(now).saturating_sub(span.start)
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.0.origin).as_micros() as u64
    }

    fn cost(&self, n: u32) -> u64 {
        (u64::from(n) * MICROS).div_ceil(1 << self.0.shift)
    }
}
