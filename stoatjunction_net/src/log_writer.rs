//! Queue of lines that a thread of its own writes, so that no one waits for a slow or full output, and no failure
//! of the output ends the process.

use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::clock::wall_ms;

/// Stack of the writing thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Memory that the queue keeps after it was written, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// Settings of a [`LineQueue`].
#[derive(Clone, Copy, Debug)]
pub struct LineQueueConfig {
    /// Bytes that wait to be written; further lines are lost.
    pub max_bytes: usize,
    /// Time in which lines are collected, to be written at once.
    pub batch_time: Duration,
    /// Time between attempts to write to an output that takes nothing.
    pub retry_interval: Duration,
}

impl Default for LineQueueConfig {
    fn default() -> LineQueueConfig {
        LineQueueConfig {
            max_bytes: 256 * 1024,
            batch_time: Duration::from_millis(100),
            retry_interval: Duration::from_millis(100),
        }
    }
}

/// Lines that wait to be written. Clones share the queue.
#[derive(Clone, Debug)]
pub struct LineQueue {
    cfg: LineQueueConfig,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Signals that there is something to write.
    filled: Condvar,
    /// Signals that everything was written.
    written: Condvar,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    /// Lines that were not written and of which no line says so yet.
    lost: u64,
    is_writing: bool,
    /// True while somebody waits for the lines to be written.
    is_urgent: bool,
    /// True once nobody will ever read the output.
    is_closed: bool,
}

/// What became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Whole,
    /// The output failed and may work again; this many bytes were written.
    Failed(usize),
    /// The output has no reader any more.
    Closed,
}

impl LineQueue {
    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    ///
    /// An I/O error if the thread can't be started.
    pub fn start<W>(cfg: LineQueueConfig, output: W) -> io::Result<LineQueue>
    where
        W: Write + Send + 'static,
    {
        let queue = LineQueue::without_output(cfg);
        let writer = queue.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || writer.write_batches(output))?;
        Ok(queue)
    }

    /// Returns a queue whose lines are never written.
    pub fn without_output(cfg: LineQueueConfig) -> LineQueue {
        LineQueue {
            cfg,
            shared: Arc::default(),
        }
    }

    /// Adds a line, which ends with a line feed. Never waits for the output.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.is_closed {
            return;
        }
        if state.bytes.len() + line.len() > self.cfg.max_bytes {
            state.lost += 1;
            return;
        }
        let was_empty = state.bytes.is_empty();
        state.bytes.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.filled.notify_one();
        }
    }

    /// Waits until all lines are written, for at most `timeout`. Returns whether they are.
    pub fn flush(&self, timeout: Duration) -> bool {
        let mut state = self.lock();
        state.is_urgent = true;
        self.shared.filled.notify_one();
        let is_busy = |s: &mut State| s.is_writing || !(s.bytes.is_empty() || s.is_closed);
        let written = &self.shared.written;
        let waited = written.wait_timeout_while(state, timeout, is_busy);
        waited.is_ok_and(|(_, result)| !result.timed_out())
    }

    fn write_batches<W: Write>(&self, mut output: W) {
        let mut batch = Vec::new();
        let mut begins_within_line = false;
        loop {
            self.take_batch(&mut batch);
            if std::mem::take(&mut begins_within_line) {
                batch.insert(0, b'\n');
            }
            let outcome = self.write(&mut output, &batch);
            if let Written::Failed(len) = outcome {
                begins_within_line = len > 0 && batch[len - 1] != b'\n';
            }
            self.end_batch(outcome, &batch);
            match outcome {
                Written::Whole => {}
                Written::Failed(_) => thread::sleep(self.cfg.retry_interval),
                Written::Closed => return,
            }
        }
    }

    /// Waits for lines, and moves them to `batch`.
    fn take_batch(&self, batch: &mut Vec<u8>) {
        batch.clear();
        batch.shrink_to(KEPT_BYTES);
        let filled = &self.shared.filled;
        let state = filled.wait_while(self.lock(), |s| s.bytes.is_empty());
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let collected = filled.wait_timeout_while(state, self.cfg.batch_time, |s| !s.is_urgent);
        let (mut state, _) = collected.unwrap_or_else(PoisonError::into_inner);
        state.is_writing = true;
        state.is_urgent = false;
        std::mem::swap(&mut state.bytes, batch);
        let lost = std::mem::take(&mut state.lost);
        drop(state);
        if lost > 0 {
            let line = format!(
                "at={} level=warn event=log_lines_lost lines={lost}\n",
                wall_ms()
            );
            batch.extend_from_slice(line.as_bytes());
        }
    }

    fn end_batch(&self, outcome: Written, batch: &[u8]) {
        let mut state = self.lock();
        state.is_writing = false;
        match outcome {
            Written::Whole => {}
            Written::Failed(len) => state.lost += count_lines(&batch[len..]),
            Written::Closed => {
                state.is_closed = true;
                state.bytes = Vec::new();
            }
        }
        drop(state);
        self.shared.written.notify_all();
    }

    /// Writes a batch, for as long as the output takes nothing and does not fail.
    fn write<W: Write>(&self, output: &mut W, batch: &[u8]) -> Written {
        let mut len = 0;
        while len < batch.len() {
            match output.write(&batch[len..]) {
                Ok(0) => return Written::Failed(len),
                Ok(n) => len += n,
                Err(e) => match e.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => thread::sleep(self.cfg.retry_interval),
                    ErrorKind::BrokenPipe => return Written::Closed,
                    _ => return Written::Failed(len),
                },
            }
        }
        Written::Whole
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is whole between any two statements that change it.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_lines(bytes: &[u8]) -> u64 {
    bytes.iter().filter(|b| **b == b'\n').count() as u64
}

/// Collects the parts of a line, and adds it to a queue when it is flushed.
#[derive(Debug)]
pub struct LineWriter {
    queue: LineQueue,
    line: Vec<u8>,
}

impl LineWriter {
    /// Creates a writer that adds lines to `queue`.
    pub fn new(queue: LineQueue) -> LineWriter {
        LineWriter {
            queue,
            line: Vec::new(),
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if !self.line.is_empty() {
            self.queue.push(&self.line);
            self.line.clear();
        }
        Ok(())
    }
}
