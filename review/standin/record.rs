//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines in the order in which they were added. Clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: &str) {
        let line = format!("{:>7} ms  {line}", self.now_ms());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::new();
        for line in &*self.lines.lock().unwrap() {
            let _always_fits = writeln!(text, "{line}");
        }
        std::fs::write(path, text)
    }
}
