//! Prefix cache, membership, quarantine, spillover, retry delay and codes.

use indexmap::IndexMap;
use stoatjunction_core::code::{Code, Outcome, Retry};
use stoatjunction_core::membership::{is_elected, shard_owner};
use stoatjunction_core::prefix::{PrefixCache, prefix_hashes, prefix_tokens};
use stoatjunction_core::prelude::*;
use stoatjunction_core::quarantine::{Quarantine, QuarantineState, Verdict};
use stoatjunction_core::retry::{RETRY_MAX, RETRY_MIN, retry_after};
use stoatjunction_core::spillover::{
    Declined, NextStep, ShardSummary, better_shard, next_step, probe_order,
};
use yare::parameterized;

fn shard(dc: &str) -> ShardId {
    ShardId {
        dc: dc.to_owned(),
        service: "s".to_owned(),
        index: 0,
    }
}

fn summary(dc: &str, free: u32, queued: u32, floor: Option<u8>) -> (ShardId, ShardSummary) {
    let shard = shard(dc);
    (
        shard.clone(),
        ShardSummary {
            shard,
            free,
            queued,
            floor: floor.map(Tier),
        },
    )
}

#[test]
fn prompts_share_the_hashes_of_their_common_prefix() {
    let common = "a".repeat(5_000);
    let first = prefix_hashes(format!("{common}{}", "b".repeat(5_000)).as_bytes());
    let second = prefix_hashes(format!("{common}{}", "c".repeat(5_000)).as_bytes());

    let shared = first
        .iter()
        .zip(&second)
        .take_while(|(a, b)| a == b)
        .count();

    assert_eq!(shared, 4, "4 x 256 tokens of 4 bytes fit into 5,000 bytes");
    assert_ne!(first[4], second[4]);
}

#[test]
fn the_least_recently_used_prefix_is_evicted_first_and_leaves_before_roots() {
    let mut cache = PrefixCache::new(1_024);
    cache.insert_prompt(&[1, 2], Time(1));
    cache.insert_prompt(&[3, 4], Time(2));

    let evicted = cache.insert_prompt(&[1, 9], Time(3));

    assert_eq!(evicted, [2]);
    assert_eq!(cache.matched_tokens(&[1, 2]), prefix_tokens(0));
    assert_eq!(cache.matched_tokens(&[3, 4]), prefix_tokens(1));
}

#[test]
fn a_gap_in_cache_events_invalidates_only_what_it_may_have_covered() {
    let mut cache = PrefixCache::new(10_240);
    cache.insert_prompt(&[1], Time(1));
    cache.insert_prompt(&[2], Time(5));

    cache.invalidate_before(Time(5));

    assert_eq!(
        (cache.matched_tokens(&[1]), cache.matched_tokens(&[2])),
        (0, prefix_tokens(0))
    );
}

#[test]
fn the_loss_of_a_host_moves_only_its_shards() {
    let hosts = ["a", "b", "c", "d"];
    let shards: Vec<ShardId> = (0..200)
        .map(|i| ShardId {
            index: i,
            ..shard("x")
        })
        .collect();

    let moved = shards.iter().filter(|s| {
        let old_owner = shard_owner(hosts, s);
        let new_owner = shard_owner(hosts.into_iter().filter(|h| *h != "d"), s);
        old_owner != new_owner && old_owner != Some("d")
    });

    assert_eq!(moved.count(), 0);
}

#[test]
fn the_requested_number_of_hosts_is_elected() {
    let hosts = ["a", "b", "c", "d", "e"];

    let elected = hosts
        .iter()
        .filter(|h| is_elected(hosts, h, "watch", 2))
        .count();

    assert_eq!(elected, 2);
}

#[parameterized(
    first_crash = { None, false, QuarantineState::Suspect },
    second_beside_others = { Some(QuarantineState::Suspect), false, QuarantineState::Suspect },
    second_alone = { Some(QuarantineState::Suspect), true, QuarantineState::Quarantined },
    after_it_was_cleared = { Some(QuarantineState::Cleared), true, QuarantineState::Suspect },
    already_quarantined = { Some(QuarantineState::Quarantined), false, QuarantineState::Quarantined },
)]
fn a_crash_changes_the_quarantine_state(
    known: Option<QuarantineState>,
    alone: bool,
    expected: QuarantineState,
) {
    let mut quarantine = Quarantine::default();
    if let Some(state) = known {
        quarantine.merge(
            Verdict {
                fingerprint: 7,
                round: 0,
                state,
            },
            Time(1),
        );
    }

    let verdict = quarantine.record_crash(7, alone, Time(2));

    assert_eq!(verdict.state, expected);
}

#[test]
fn verdicts_merge_independently_of_their_order() {
    let all: Vec<Verdict> = (0..3)
        .flat_map(|round| {
            [
                QuarantineState::Suspect,
                QuarantineState::Cleared,
                QuarantineState::Quarantined,
            ]
            .map(|state| Verdict {
                fingerprint: 7,
                round,
                state,
            })
        })
        .collect();
    let mut forward = Quarantine::default();
    let mut backward = Quarantine::default();

    all.iter().for_each(|v| _ = forward.merge(*v, Time(1)));
    all.iter()
        .rev()
        .for_each(|v| _ = backward.merge(*v, Time(1)));

    assert_eq!(forward.state(7), backward.state(7));
    assert!(forward.is_quarantined(7));
}

#[parameterized(
    unasked_first = { 0, vec![Some(Some(0)), None], NextStep::Ask(1) },
    none_serves_lower = { 1, vec![Some(Some(1)), Some(None)], NextStep::Shed { retry: Span(5) } },
    one_serves_lower = { 1, vec![Some(Some(1)), Some(Some(3))], NextStep::Ask(1) },
    lowest_tier = { 3, vec![Some(Some(3)), Some(Some(3))], NextStep::Shed { retry: Span(5) } },
)]
fn a_request_is_shed_only_when_no_shard_serves_a_lower_tier(
    tier: u8,
    floors: Vec<Option<Option<u8>>>,
    expected: NextStep,
) {
    let declined = |f: Option<u8>| Declined {
        floor: f.map(Tier),
        retry: Span(5),
    };
    let declines: Vec<Option<Declined>> = floors.into_iter().map(|f| f.map(declined)).collect();

    assert_eq!(next_step(Tier(tier), &declines), expected);
}

#[parameterized(
    local_is_free = { vec![summary("a", 2, 0, None), summary("b", 8, 0, None)], None },
    other_is_free = { vec![summary("a", 0, 1, Some(1)), summary("b", 8, 0, None)], Some(1) },
    both_full_alike = { vec![summary("a", 0, 1, Some(1)), summary("b", 0, 9, Some(1))], None },
    other_serves_lower = { vec![summary("a", 0, 1, Some(1)), summary("b", 0, 9, Some(3))], Some(1) },
    own_serves_lower = { vec![summary("a", 0, 1, Some(3)), summary("b", 0, 9, Some(3))], None },
    nothing_known = { vec![], None },
)]
fn a_queued_request_moves_to_where_it_is_served_sooner(
    known: Vec<(ShardId, ShardSummary)>,
    expected: Option<usize>,
) {
    let shards = [shard("a"), shard("b")];
    let summaries: IndexMap<ShardId, ShardSummary> = known.into_iter().collect();

    assert_eq!(
        better_shard(Tier(1), &shards[0], &shards, &summaries, 0.5),
        expected
    );
}

#[test]
fn the_local_data_centre_comes_first_unless_it_is_full_and_another_is_not() {
    let shards = vec![shard("b"), shard("a"), shard("c")];
    let free: IndexMap<_, _> = [summary("a", 1, 0, None), summary("b", 9, 0, None)].into();
    let full: IndexMap<_, _> = [summary("a", 0, 3, None), summary("b", 9, 0, None)].into();

    assert_eq!(probe_order(shards.clone(), "a", &free, 1)[0], shard("a"));
    assert_eq!(probe_order(shards, "a", &full, 1)[0], shard("b"));
}

#[parameterized(
    nothing_queued = { 0, 0.0 },
    short = { 500, 1.0 },
    long = { 3_600_000, 0.5 },
)]
fn the_retry_delay_stays_within_its_bounds(backlog_ms: u64, draw: f64) {
    let delay = retry_after(Span::from_millis(backlog_ms), draw);

    assert!((RETRY_MIN..=RETRY_MAX).contains(&delay), "{delay:?}");
}

#[test]
fn code_numbers_are_unique_and_retry_advice_matches_the_outcome() {
    let mut numbers: Vec<u16> = Code::ALL.iter().map(|c| c.number()).collect();
    numbers.dedup();

    assert_eq!(numbers.len(), Code::ALL.len());
    assert!(numbers.is_sorted());
    for code in Code::ALL.iter().filter(|c| c.retry() == Retry::AskAgain) {
        assert_eq!(code.outcome(), Outcome::Unknown, "{}", code.slug());
    }
}
