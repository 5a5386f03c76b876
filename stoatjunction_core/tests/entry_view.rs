//! The list of upstreams: nothing older replaces anything newer, and what expired in an outage of
//! the platform may come back.

use indexmap::IndexMap;
use stoatjunction_core::entry::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use stoatjunction_core::time::{Span, Time};

const NOW: Time = Time(1_000_000);
const PUT_OFF: Span = Span::from_millis(1_400);

fn entry(id: &str, revision: u64, draining: bool) -> UpstreamEntry {
    let listed = Some(ListedUpstream {
        id: id.to_owned(),
        draining,
        ..ListedUpstream::default()
    });
    UpstreamEntry { revision, listed }
}

fn ids(view: &UpstreamList) -> Vec<String> {
    view.upstreams().map(|l| l.id.clone()).collect()
}

#[test]
fn an_older_change_does_not_undo_a_newer_one() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, true));

    let news = view.upsert("a", entry("a", 4, false));

    assert!(!news);
    assert!(view.upstreams().all(|l| l.draining));
}

#[test]
fn a_removed_entry_does_not_come_back_by_an_older_list_of_another_host() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    view.remove("a", 7, None, NOW);
    let older = IndexMap::from([("a".to_owned(), entry("a", 5, false))]);

    view.replace(older, 6, None, NOW);

    assert!(ids(&view).is_empty());
}

#[test]
fn after_an_outage_a_removal_is_put_off_and_then_carried_out() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));

    view.remove("a", 7, Some(PUT_OFF), NOW);

    assert_eq!(ids(&view), ["a"]);
    assert!(!view.apply_due_removals(NOW + Span::from_millis(1_399)));
    assert!(view.apply_due_removals(NOW + PUT_OFF));
    assert!(ids(&view).is_empty());
}

#[test]
fn an_entry_that_comes_back_after_an_outage_stays() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    view.replace(IndexMap::new(), 7, Some(PUT_OFF), NOW);

    view.upsert("a", entry("a", 8, false));
    view.apply_due_removals(NOW + PUT_OFF);

    assert_eq!(ids(&view), ["a"]);
}

#[test]
fn a_copy_of_the_same_entry_does_not_call_off_its_removal() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    view.remove("a", 7, Some(PUT_OFF), NOW);
    let copy = IndexMap::from([("a".to_owned(), entry("a", 5, false))]);

    view.replace(copy, 8, None, NOW);
    view.apply_due_removals(NOW + PUT_OFF);

    assert!(ids(&view).is_empty());
}

#[test]
fn other_hosts_are_not_given_what_is_about_to_be_removed() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    view.upsert("b", entry("b", 6, false));

    view.remove("a", 7, Some(PUT_OFF), NOW);

    assert!(view.stable_entries().keys().eq(["b"]));
}

#[test]
fn an_empty_list_after_an_outage_is_not_no_upstreams() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    view.upsert("b", entry("b", 6, false));

    view.replace(IndexMap::new(), 7, Some(PUT_OFF), NOW);

    assert_eq!(ids(&view).len(), 2);
}

#[test]
fn an_unreadable_entry_names_no_upstream_and_harms_no_other() {
    let mut view = UpstreamList::default();
    view.upsert("a", entry("a", 5, false));
    let broken = UpstreamEntry {
        revision: 6,
        listed: None,
    };

    view.upsert("b", broken);

    assert_eq!(ids(&view), ["a"]);
}

#[test]
fn hosts_that_know_the_same_have_the_same_digest_whatever_the_order() {
    let (mut one, mut two) = (UpstreamList::default(), UpstreamList::default());
    one.upsert("a", entry("a", 5, false));
    one.upsert("b", entry("b", 6, false));

    two.upsert("b", entry("b", 6, false));
    two.upsert("a", entry("a", 5, false));

    assert_eq!(one.digest(), two.digest());
    two.upsert("a", entry("a", 9, true));
    assert_ne!(one.digest(), two.digest());
}
