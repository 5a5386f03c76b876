//! Errors of sockets are neither retried in a busy loop nor logged each time.

use std::io;
use std::time::{Duration, Instant};

use nix::libc;
use stoatjunction_net::occurrences::Occurrences;
use stoatjunction_net::socket_errors::{SocketErrors, concerns_one_peer, lacks_resources};
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

#[parameterized(
    no_files_of_the_process = { libc::EMFILE, true },
    no_files_of_the_machine = { libc::ENFILE, true },
    no_port = { libc::EADDRNOTAVAIL, true },
    no_memory = { libc::ENOMEM, true },
    no_buffers = { libc::ENOBUFS, true },
    no_watches = { libc::ENOSPC, true },
    refused = { libc::ECONNREFUSED, false },
    reset = { libc::ECONNRESET, false },
    timed_out = { libc::ETIMEDOUT, false },
    no_route = { libc::EHOSTUNREACH, false },
)]
fn what_this_host_lacks_says_nothing_about_a_peer(code: i32, is_lacking: bool) {
    let e = io::Error::from_raw_os_error(code);

    assert_eq!(lacks_resources(&e), is_lacking);
}
