//! Limit on the open files of the process.

use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Raises the limit to `wanted` as far as the process may, and returns how many files it may then open, at most `wanted`.
pub fn raise_limit(wanted: usize) -> usize {
    let (soft, hard) = match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok(limits) => limits,
        Err(e) => {
            log::warn!("event=open_files_unknown wanted={wanted} reason=\"{e}\"");
            return wanted;
        }
    };
    let as_count = |limit: u64| usize::try_from(limit).unwrap_or(usize::MAX).min(wanted);
    if as_count(soft) == wanted {
        return wanted;
    }
    let raised = as_count(hard);
    let limit = match setrlimit(Resource::RLIMIT_NOFILE, raised as u64, hard) {
        Ok(()) => raised,
        Err(e) => {
            log::warn!("event=open_files_not_raised wanted={wanted} reason=\"{e}\"");
            as_count(soft)
        }
    };
    if limit < wanted {
        log::warn!("event=few_open_files wanted={wanted} limit={limit}");
    }
    limit
}
