//! Each use of files gets a part of the limit that holds.

use stoatjunction_core::entry::file_shares::FileShares;
use yare::parameterized;

#[parameterized(
    of_a_platform = { 4_100, 2_900, 400 },
    of_a_shell = { 1_024, 341, 128 },
    small = { 256, 85, 32 },
    tiny = { 48, 16, 6 },
)]
fn callers_and_tunnels_leave_files_for_upstreams(limit: usize, callers: usize, tunnels: usize) {
    let shares = FileShares::of(limit);

    assert_eq!(shares, FileShares { callers, tunnels });
    assert!(shares.callers + shares.tunnels < limit);
}
