//! List of upstreams: changes of lower revisions are ignored, and entries that expired in an outage
//! of the platform may return.

use indexmap::IndexMap;
use stoatjunction_core::entry::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, revision_in_era, split_revision,
};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const NOW: Time = Time(1_000_000);
const REMOVAL_DELAY: Span = Span::from_millis(1_400);

fn entry(id: &str, revision: u64, draining: bool) -> UpstreamEntry {
    let listed = Some(ListedUpstream {
        id: id.to_owned(),
        draining,
        ..ListedUpstream::default()
    });
    UpstreamEntry { revision, listed }
}

fn ids(list: &UpstreamList) -> Vec<String> {
    list.upstreams().map(|l| l.id.clone()).collect()
}

#[test]
fn a_change_of_a_lower_revision_is_ignored() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, true));

    let changed = list.upsert("a", entry("a", 4, false));

    assert!(!changed);
    assert!(list.upstreams().all(|l| l.draining));
}

#[test]
fn an_older_list_of_another_host_does_not_restore_a_removed_entry() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    list.remove("a", 7, None, NOW);
    let older = IndexMap::from([("a".to_owned(), entry("a", 5, false))]);

    list.replace(older, 6, None, NOW);

    assert!(ids(&list).is_empty());
}

#[test]
fn a_removal_after_an_outage_is_delayed_and_then_applied() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));

    list.remove("a", 7, Some(REMOVAL_DELAY), NOW);

    assert_eq!(ids(&list), ["a"]);
    assert!(!list.apply_due_removals(NOW + Span::from_millis(1_399)));
    assert!(list.apply_due_removals(NOW + REMOVAL_DELAY));
    assert!(ids(&list).is_empty());
}

#[test]
fn an_entry_that_returns_after_an_outage_is_kept() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    list.replace(IndexMap::new(), 7, Some(REMOVAL_DELAY), NOW);

    list.upsert("a", entry("a", 8, false));
    list.apply_due_removals(NOW + REMOVAL_DELAY);

    assert_eq!(ids(&list), ["a"]);
}

#[test]
fn a_copy_of_the_same_revision_does_not_cancel_a_delayed_removal() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    list.remove("a", 7, Some(REMOVAL_DELAY), NOW);
    let copy = IndexMap::from([("a".to_owned(), entry("a", 5, false))]);

    list.replace(copy, 8, None, NOW);
    list.apply_due_removals(NOW + REMOVAL_DELAY);

    assert!(ids(&list).is_empty());
}

#[test]
fn entries_with_a_delayed_removal_are_not_passed_to_other_hosts() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    list.upsert("b", entry("b", 6, false));

    list.remove("a", 7, Some(REMOVAL_DELAY), NOW);

    assert!(list.stable_entries().keys().eq(["b"]));
}

#[test]
fn an_empty_list_after_an_outage_does_not_remove_upstreams_at_once() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    list.upsert("b", entry("b", 6, false));

    list.replace(IndexMap::new(), 7, Some(REMOVAL_DELAY), NOW);

    assert_eq!(ids(&list).len(), 2);
}

#[test]
fn an_invalid_entry_lists_no_upstream_and_leaves_the_others() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 5, false));
    let invalid = UpstreamEntry {
        revision: 6,
        listed: None,
    };

    list.upsert("b", invalid);

    assert_eq!(ids(&list), ["a"]);
}

#[test]
fn the_digest_depends_on_the_entries_and_not_on_their_order() {
    let (mut first, mut second) = (UpstreamList::default(), UpstreamList::default());
    first.upsert("a", entry("a", 5, false));
    first.upsert("b", entry("b", 6, false));

    second.upsert("b", entry("b", 6, false));
    second.upsert("a", entry("a", 5, false));

    assert_eq!(first.digest(), second.digest());
    second.upsert("a", entry("a", 9, true));
    assert_ne!(first.digest(), second.digest());
}

#[parameterized(
    first = { 0, 7 },
    later = { 3, 7 },
    largest = { 9, (1 << 40) - 1 },
)]
fn a_revision_holds_its_era(era: u64, number: u64) {
    let revision = revision_in_era(era, number);

    assert_eq!(split_revision(revision), (era, number));
    assert!(revision < revision_in_era(era + 1, 0));
}

#[test]
fn a_copy_of_a_later_era_does_not_make_a_leaving_upstream_ready() {
    let mut list = UpstreamList::default();
    for id in ["draining", "gone", "new"] {
        list.upsert(id, entry(id, 5, id == "draining"));
    }
    list.remove("gone", 7, None, NOW);
    list.remove("new", 7, None, NOW);
    let copied = |id: &str| {
        let mut copy = entry(id, revision_in_era(1, 2), false);
        if id == "new" {
            copy.listed.as_mut().unwrap().born = 9;
        }
        (id.to_owned(), copy)
    };
    let copy = ["draining", "gone", "new"].map(copied);

    list.replace(IndexMap::from(copy), revision_in_era(1, 3), None, NOW);

    let ready = list.upstreams().filter(|l| !l.draining);
    assert_eq!(ready.map(|l| l.id.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn an_entry_that_is_written_again_after_the_copy_counts() {
    let mut list = UpstreamList::default();
    list.upsert("a", entry("a", 900, false));
    let copy = [("a".to_owned(), entry("a", revision_in_era(1, 2), false))];
    list.replace(IndexMap::from(copy), revision_in_era(1, 3), None, NOW);

    let changed = list.upsert("a", entry("a", revision_in_era(1, 4), true));

    assert!(changed);
    assert!(list.upstreams().all(|l| l.draining));
}
