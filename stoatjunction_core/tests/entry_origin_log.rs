//! What a host keeps in the store of the streams that began there.

use stoatjunction_core::entry::origin_log::{OriginLog, SegmentWrite};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::entry::stream_origins::{BegunStream, StreamId};
use stoatjunction_core::time::{Span, Time};

/// Time after which no caller takes a stream up.
const LATER: Span = Span::from_millis(60_000);

fn begun(n: u64) -> BegunStream {
    BegunStream {
        stream: StreamId::from_number(n),
        version: SoftwareVersion::from_number(1),
    }
}

fn log_of(streams: u64) -> OriginLog {
    let mut log = OriginLog::default();
    for n in 0..streams {
        log.record(begun(n), Time::default());
    }
    log
}

/// Writes all that is due, and returns the writes.
fn write_all(log: &mut OriginLog, now: Time) -> Vec<SegmentWrite> {
    let mut writes = Vec::new();
    while let Some(write) = log.next_write(now) {
        log.set_written(&write);
        writes.push(write);
    }
    writes
}

#[test]
fn each_stream_is_written_in_objects_of_bounded_size() {
    let mut log = log_of(300);

    let writes = write_all(&mut log, Time::default());

    let written: usize = writes.iter().map(|w| w.streams.len()).sum();
    assert_eq!(written, 300);
    assert!(writes.iter().all(|w| w.is_new && w.streams.len() <= 128));
}

#[test]
fn a_further_stream_replaces_the_last_object_only() {
    let mut log = log_of(200);
    let before = write_all(&mut log, Time::default());

    log.record(begun(200), Time::default());
    let after = write_all(&mut log, Time::default());

    assert_eq!((before.len(), after.len()), (2, 1));
    assert!(!after[0].is_new);
    assert_eq!(after[0].streams.last(), Some(&begun(200)));
}

#[test]
fn a_stream_that_began_during_a_write_is_written_by_the_next_one() {
    let mut log = log_of(1);

    let write = log.next_write(Time::default()).unwrap();
    log.record(begun(1), Time::default());
    log.set_written(&write);

    let next = log.next_write(Time::default()).unwrap();
    assert_eq!(next.streams, [begun(0), begun(1)]);
}

#[test]
fn objects_are_removed_when_nobody_takes_their_streams_up() {
    let mut log = log_of(1);
    write_all(&mut log, Time::default());

    assert_eq!(log.next_expired(Time::default()), None);
    let expired = log.next_expired(Time::default() + LATER);
    log.remove(expired.unwrap());

    assert_eq!(log.next_expired(Time::default() + LATER), None);
}

#[test]
fn streams_that_were_never_written_are_forgotten() {
    let mut log = log_of(1);

    log.record(begun(1), Time::default() + LATER);

    let write = log.next_write(Time::default() + LATER).unwrap();
    assert_eq!(write.streams, [begun(1)]);
}
