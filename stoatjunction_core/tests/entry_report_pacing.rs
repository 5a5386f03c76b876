//! What a host spends on reports to the others, by the number of these.

use stoatjunction_core::entry::propagation::REPORT_INTERVAL;
use stoatjunction_core::entry::report_pacing::report_interval;
use yare::parameterized;

#[parameterized(
    alone = { 0, 20, 20 },
    small_fleet = { 7, 20, 20 },
    eleven_hosts = { 10, 20, 30 },
    data_centre_of_a_grown_fleet = { 15, 40, 60 },
    data_centre_of_a_large_fleet = { 49, 200, 250 },
)]
fn the_interval_grows_with_the_receivers(receivers: usize, least_ms: u64, most_ms: u64) {
    let interval = report_interval(receivers).as_millis();

    assert!((least_ms..=most_ms).contains(&interval), "{interval}");
}

#[test]
fn a_host_of_a_large_data_centre_sends_few_reports_a_second() {
    let receivers = 49;

    let sent = receivers as f64 / report_interval(receivers).as_secs_f64();

    assert!(sent <= 200.0, "{sent}");
}

#[test]
fn reports_of_a_data_centre_of_fifty_hosts_are_as_fresh_as_those_without_changes() {
    assert!(report_interval(49) <= REPORT_INTERVAL);
}
