//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            started: Instant::now(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().expect("no thread panics").write_all(line.as_bytes());
        print!("{line}");
    }
}
