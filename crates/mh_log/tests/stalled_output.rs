//! Logging while nobody reads the lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

use log::LevelFilter;
use mh_log::{LineLimit, init_logging, lines_dropped};

/// Output like a pipe whose reader has stopped: the first write does not return before the test ends.
struct StalledPipe {
    entered: Sender<()>,
    end: Receiver<()>,
}

impl Write for StalledPipe {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.end.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against threads of the runtime that wait for whoever reads the log: `mangohook run` wrote its lines to standard
/// error from the thread that logged them.
#[test]
fn a_thread_that_logs_does_not_wait_for_the_reader() {
    let (entered, is_entered) = channel();
    let (end, is_over) = channel();
    let pipe = StalledPipe { entered, end: is_over };
    init_logging(LevelFilter::Info, LineLimit::NONE, pipe).expect("no logger is set yet");
    log::info!(target: "mangohook", "E100 first");
    is_entered.recv().expect("the writer runs");

    // More than the queue and the pipe hold.
    for n in 0..10_000 {
        log::warn!(target: "mangohook", "E100 line {n}");
    }

    assert!(lines_dropped() >= 9_000, "{}", lines_dropped());
    end.send(()).expect("the writer waits");
}
