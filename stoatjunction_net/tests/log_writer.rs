//! Lines are written in order by a thread of their own; an output that fails, or takes nothing, stops nobody.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use stoatjunction_net::log_writer::{LineQueue, LineQueueConfig};
use yare::parameterized;

/// Longest wait for a line.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a line is added.
const PUSH_TIME: Duration = Duration::from_millis(500);

/// What an output does with a write.
#[derive(Clone, Copy, Debug)]
enum Step {
    Takes(usize),
    Fails(ErrorKind),
    TakesNothing,
}

/// An output that follows a script, and takes everything after its end.
#[derive(Clone, Default)]
struct Output {
    script: Arc<Mutex<VecDeque<Step>>>,
    written: Arc<Mutex<Vec<u8>>>,
    /// True while each write waits.
    is_blocked: Arc<(Mutex<bool>, Condvar)>,
}

impl Output {
    fn with_script(steps: &[Step]) -> Output {
        let output = Output::default();
        output.script.lock().unwrap().extend(steps);
        output
    }

    fn set_blocked(&self, is_blocked: bool) {
        *self.is_blocked.0.lock().unwrap() = is_blocked;
        self.is_blocked.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).expect("lines are text")
    }

    fn wait_for(&self, text: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.text().contains(text) {
            assert!(Instant::now() < deadline, "no {text} in {}", self.text());
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (is_blocked, unblocked) = &*self.is_blocked;
        let blocked = unblocked.wait_while(is_blocked.lock().unwrap(), |b| *b);
        drop(blocked);
        let step = self.script.lock().unwrap().pop_front();
        let len = match step.unwrap_or(Step::Takes(buf.len())) {
            Step::Takes(len) => len.min(buf.len()),
            Step::TakesNothing => 0,
            Step::Fails(kind) => return Err(kind.into()),
        };
        self.written.lock().unwrap().extend_from_slice(&buf[..len]);
        Ok(len)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start(output: &Output) -> LineQueue {
    let cfg = LineQueueConfig {
        max_bytes: 1_000,
        batch_time: Duration::from_millis(1),
        retry_interval: Duration::from_millis(1),
    };
    LineQueue::start(cfg, output.clone()).expect("thread starts")
}

#[parameterized(
    taken_in_parts = { &[Step::Takes(3), Step::Takes(1)] },
    interrupted = { &[Step::Fails(ErrorKind::Interrupted)] },
    full_and_nonblocking = { &[Step::Takes(2), Step::Fails(ErrorKind::WouldBlock), Step::Fails(ErrorKind::WouldBlock)] },
)]
fn lines_are_written_once_and_in_order_if_the_output_takes_them_later(script: &[Step]) {
    let output = Output::with_script(script);
    let queue = start(&output);

    queue.push(b"one\n");
    queue.push(b"two\n");

    assert!(queue.flush(WAIT_TIMEOUT));
    assert_eq!(output.text(), "one\ntwo\n");
}

#[parameterized(
    no_space = { Step::Fails(ErrorKind::StorageFull) },
    too_large = { Step::Fails(ErrorKind::FileTooLarge) },
    unknown = { Step::Fails(ErrorKind::Other) },
    takes_nothing = { Step::TakesNothing },
)]
fn lines_that_an_output_refused_are_counted_once_it_works(step: Step) {
    let output = Output::with_script(&[Step::Takes(6), step]);
    let queue = start(&output);

    queue.push(b"one\ntwo\nthree\n");
    assert!(queue.flush(WAIT_TIMEOUT));
    queue.push(b"four\n");

    output.wait_for("event=log_lines_lost lines=2\n");
    assert!(
        output.text().starts_with("one\ntw\nfour\n"),
        "{}",
        output.text()
    );
}

#[test]
fn lines_beyond_the_limit_are_counted_and_nobody_waits_while_the_output_is_blocked() {
    let output = Output::default();
    output.set_blocked(true);
    let queue = start(&output);

    let began = Instant::now();
    for _ in 0..500 {
        queue.push(b"a line\n");
    }
    let took = began.elapsed();
    let is_flushed = queue.flush(Duration::from_millis(10));
    output.set_blocked(false);
    queue.push(b"the last line\n");

    assert!(took < PUSH_TIME, "{took:?}");
    assert!(!is_flushed);
    output.wait_for("event=log_lines_lost lines=");
    assert!(output.text().len() < 3_000);
}

#[test]
fn an_output_without_a_reader_ends_the_writing_only() {
    let output = Output::with_script(&[Step::Fails(ErrorKind::BrokenPipe)]);
    let queue = start(&output);

    queue.push(b"one\n");
    assert!(queue.flush(WAIT_TIMEOUT));
    queue.push(b"two\n");

    assert!(queue.flush(WAIT_TIMEOUT));
    assert_eq!(output.text(), "");
}

#[test]
fn a_flush_does_not_wait_until_lines_are_collected() {
    let output = Output::default();
    let cfg = LineQueueConfig {
        batch_time: WAIT_TIMEOUT,
        ..LineQueueConfig::default()
    };
    let queue = LineQueue::start(cfg, output.clone()).expect("thread starts");

    queue.push(b"one\n");

    assert!(queue.flush(WAIT_TIMEOUT / 2));
    assert_eq!(output.text(), "one\n");
}
