//! Each use of files gets a part of the limit that holds.

use stoatjunction_core::entry::file_shares::FileShares;
use yare::parameterized;

#[parameterized(
    of_a_platform = { 4_100, [2_900, 400, 64] },
    of_a_shell = { 1_024, [341, 128, 64] },
    small = { 256, [85, 32, 16] },
    tiny = { 48, [16, 6, 3] },
)]
fn callers_tunnels_and_checks_leave_files_for_upstreams(limit: usize, expected: [usize; 3]) {
    let shares = FileShares::of(limit);

    assert_eq!([shares.callers, shares.tunnels, shares.checks], expected);
    assert!(shares.callers + shares.tunnels + 2 * shares.checks < limit);
}
