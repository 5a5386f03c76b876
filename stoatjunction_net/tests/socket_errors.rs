//! Errors of sockets are neither retried in a busy loop nor logged each time.

use std::io;
use std::time::{Duration, Instant};

use nix::libc;
use stoatjunction_net::occurrences::Occurrences;
use stoatjunction_net::socket_errors::{SocketErrors, concerns_one_peer};
use yare::parameterized;

#[parameterized(
    no_file_of_the_process = { libc::EMFILE, false },
    no_file_of_the_system = { libc::ENFILE, false },
    no_buffer = { libc::ENOBUFS, false },
    no_memory = { libc::ENOMEM, false },
    aborted = { libc::ECONNABORTED, true },
)]
fn only_errors_of_one_peer_are_retried_at_once(code: i32, is_retried_at_once: bool) {
    let e = io::Error::from_raw_os_error(code);

    assert_eq!(concerns_one_peer(&e), is_retried_at_once);
}

#[tokio::test]
async fn errors_that_last_are_retried_after_a_pause() {
    let mut errors = SocketErrors::new("test");
    let e = io::Error::from_raw_os_error(libc::EMFILE);
    let began = Instant::now();

    for _ in 0..5 {
        errors.handle(&e).await;
    }

    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[test]
fn one_line_a_second_carries_the_number_of_occurrences() {
    let mut occurrences = Occurrences::default();
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);

    assert_eq!(occurrences.record(after(0)), Some(1));
    assert_eq!(occurrences.record(after(1)), None);
    assert_eq!(occurrences.record(after(999)), None);
    assert_eq!(occurrences.record(after(1_000)), Some(3));
    assert_eq!(occurrences.record(after(1_001)), None);
}
