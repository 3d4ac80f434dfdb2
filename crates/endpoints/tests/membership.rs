//! Endpoint lists that lag, flap or go backwards, and workers whose own announcements are newer.

use proptest::prelude::*;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle};
use stagehoist_endpoints::blocking_query::{BlockingQuery, QueryOutcome};
use stagehoist_endpoints::{
    EndpointSet, ListedWorker, NumberedEndpoint, Update, GONE_RETENTION, MAX_WORKERS,
};

const S: i64 = 1_000_000;

fn endpoint_set() -> EndpointSet {
    EndpointSet::new(vec!["large".into()], vec!["hall-a".into(), "hall-b".into()], 30 * S)
}

fn entry(name: &str, started: i64) -> ListedWorker {
    ListedWorker {
        started,
        kind: "large".into(),
        zone: "hall-b".into(),
        ..ListedWorker::new(name, "127.0.0.1:1")
    }
}

fn lifecycle_of(update: &Update, id: u32) -> Lifecycle {
    update.endpoints.iter().find(|r| r.worker == id).map_or(Lifecycle::Gone, |r| r.lifecycle)
}

#[test]
fn worker_numbers_derive_from_names_and_indices_from_settings() {
    let (mut one, mut other) = (endpoint_set(), endpoint_set());
    let a = one.apply_list(vec![entry("w2", 5), entry("w1", 5)], 0);
    other.apply_list(vec![entry("w9", 5)], 0);
    let b = other.apply_list(vec![entry("w1", 5), entry("w2", 5), entry("w1", 9)], 0);
    assert_eq!(a.endpoints, b.endpoints);
    assert_eq!((a.endpoints[0].kind, a.endpoints[0].zone), (0, 1));
    let unknown =
        one.apply_list(vec![ListedWorker { kind: "new".into(), ..ListedWorker::new("w3", "x:1") }], 0);
    assert_eq!((unknown.endpoints[0].kind, unknown.endpoints[0].zone), (u16::MAX, u8::MAX));
}

#[test]
fn a_drain_announcement_overrides_a_lagging_list() {
    let mut m = endpoint_set();
    let id = m.apply_list(vec![entry("w", 5)], 0).endpoints[0].worker;
    let numbered = m.on_announcement(id, true, S).unwrap();
    assert_eq!((numbered.kind, lifecycle_of(&numbered, id)), (EndpointUpdate::Delta, Lifecycle::Draining));
    assert!(m.on_announcement(id, true, S).is_none());
    assert_eq!(lifecycle_of(&m.apply_list(vec![entry("w", 5)], 2 * S), id), Lifecycle::Draining);
    // The list catches up, then shows the worker ready again: its drain was cancelled.
    let draining = ListedWorker { draining: true, ..entry("w", 5) };
    assert_eq!(lifecycle_of(&m.apply_list(vec![draining], 3 * S), id), Lifecycle::Draining);
    assert_eq!(lifecycle_of(&m.apply_list(vec![entry("w", 5)], 4 * S), id), Lifecycle::Ready);
    // A restart invalidates the announcement; so do a new announcement of the worker and the end of the retention.
    m.on_announcement(id, true, 5 * S);
    assert_eq!(lifecycle_of(&m.apply_list(vec![entry("w", 6 * S)], 6 * S), id), Lifecycle::Ready);
    m.on_announcement(id, true, 7 * S);
    assert_eq!(lifecycle_of(&m.on_announcement(id, false, 8 * S).unwrap(), id), Lifecycle::Ready);
    m.on_announcement(id, true, 9 * S);
    assert_eq!(lifecycle_of(&m.apply_list(vec![entry("w", 6 * S)], 50 * S), id), Lifecycle::Ready);
}

#[test]
fn workers_missing_from_a_list_are_gone_and_keep_number_and_address() {
    let mut m = endpoint_set();
    let id = m.apply_list(vec![entry("w", 5)], 0).endpoints[0].worker;
    assert_eq!(lifecycle_of(&m.apply_list(vec![], S), id), Lifecycle::Gone);
    assert_eq!(m.address(id), Some("127.0.0.1:1"));
    assert!(m.on_announcement(id, true, S).is_none());
    assert_eq!(lifecycle_of(&m.apply_list(vec![entry("w", 9)], 2 * S), id), Lifecycle::Ready);
}

#[test]
fn a_decreasing_index_resets_the_query_and_pauses_grow_with_failures() {
    let mut b = BlockingQuery::new(S, 8 * S);
    assert_eq!((b.index(), b.on_answer(Some(40))), (0, QueryOutcome::Changed));
    assert_eq!((b.index(), b.on_answer(Some(40))), (40, QueryOutcome::Unchanged));
    assert_eq!((b.on_answer(Some(7)), b.index()), (QueryOutcome::Changed, 0));
    assert_eq!((b.on_answer(Some(7)), b.index()), (QueryOutcome::Changed, 7));
    assert_eq!((b.on_answer(None), b.index()), (QueryOutcome::Changed, 0));
    let waits: Vec<i64> = (0..6).map(|_| b.on_failure(1.0)).collect();
    assert_eq!(waits, [S, 2 * S, 4 * S, 8 * S, 8 * S, 8 * S]);
    b.on_answer(Some(8));
    assert_eq!(b.on_failure(0.0), S / 2);
}

proptest! {
    /// For any order of lists and announcements, a row is ready only if the last list showed the worker ready.
    #[test]
    fn a_worker_that_the_list_drains_is_never_reported_ready(
        steps in prop::collection::vec((0u8..4, 0usize..3, any::<bool>()), 1..60)
    ) {
        let mut m = endpoint_set();
        let names = ["a", "b", "c"];
        let mut last = [Lifecycle::Gone; 3];
        for (time, (what, which, flag)) in steps.into_iter().enumerate() {
            let now = time as i64 * S;
            let update = if what < 2 {
                last[which] = match (what, flag) {
                    (0, _) => Lifecycle::Gone,
                    (_, true) => Lifecycle::Draining,
                    (_, false) => Lifecycle::Ready,
                };
                let list = (0..3).filter(|i| last[*i] != Lifecycle::Gone).map(|i| {
                    ListedWorker { draining: last[i] == Lifecycle::Draining, ..entry(names[i], 1) }
                });
                Some(m.apply_list(list.collect(), now))
            } else {
                let id = m.apply_list(vec![entry("z", 1)], now).endpoints[0].worker;
                last = [Lifecycle::Gone; 3];
                m.on_announcement(id, flag, now)
            };
            for row in update.iter().flat_map(|u| &u.endpoints) {
                let place = names.iter().position(|n| m.name(row.worker) == Some(*n));
                if let Some(i) = place {
                    prop_assert!(row.lifecycle != Lifecycle::Ready || last[i] == Lifecycle::Ready);
                }
            }
        }
    }
}

fn numbered(id: u32, lifecycle: Lifecycle) -> NumberedEndpoint {
    let row = Endpoint { worker: id, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity: 1.0 };
    NumberedEndpoint { name: format!("w{id}"), address: "127.0.0.1:1".into(), endpoint: row }
}

#[test]
fn a_worker_that_departs_again_is_retained_from_its_last_departure() {
    for again in [EndpointUpdate::Delta, EndpointUpdate::Full] {
        let mut m = endpoint_set();
        m.apply(EndpointUpdate::Full, vec![numbered(1, Lifecycle::Ready), numbered(2, Lifecycle::Ready)], 0);
        m.apply(EndpointUpdate::Delta, vec![numbered(1, Lifecycle::Gone)], S);
        m.apply(EndpointUpdate::Delta, vec![numbered(1, Lifecycle::Ready)], 20 * S);
        let rows = if again == EndpointUpdate::Delta {
            numbered(1, Lifecycle::Gone)
        } else {
            numbered(2, Lifecycle::Ready)
        };
        m.apply(again, vec![rows], 25 * S);
        m.apply(EndpointUpdate::Delta, vec![], S + GONE_RETENTION);
        assert_eq!(m.address(1), Some("127.0.0.1:1"), "{again:?}: removed 6 s after the departure");
        m.apply(EndpointUpdate::Delta, vec![], 25 * S + GONE_RETENTION);
        assert_eq!(m.address(1), None);
    }
}

#[test]
fn repeated_reports_that_a_worker_is_gone_do_not_extend_its_retention() {
    let mut m = endpoint_set();
    m.apply(EndpointUpdate::Full, vec![numbered(1, Lifecycle::Ready)], 0);
    (0..30).for_each(|n| drop(m.apply(EndpointUpdate::Delta, vec![numbered(1, Lifecycle::Gone)], n * S)));
    m.apply(EndpointUpdate::Delta, vec![], GONE_RETENTION);
    assert_eq!(m.address(1), None);
}

#[test]
fn workers_beyond_the_maximum_are_omitted_by_name_and_reported_once() {
    let list = |n: u32| (0..n).map(|i| entry(&format!("w{i:05}"), 5)).collect::<Vec<_>>();
    let mut default_set = endpoint_set();
    assert_eq!(
        (default_set.apply_list(list(10_010), 0).endpoints.len(), default_set.take_new_omission()),
        (MAX_WORKERS, Some(10))
    );
    let (mut one, mut other) =
        (endpoint_set().with_max_workers(30_000), endpoint_set().with_max_workers(30_000));
    assert_eq!((one.apply_list(list(30_000), 0).endpoints.len(), one.take_new_omission()), (30_000, None));
    let too_long = list(30_007);
    let reversed: Vec<ListedWorker> = too_long.iter().rev().cloned().collect();
    let (a, b) = (one.apply_list(too_long.clone(), S), other.apply_list(reversed, S));
    assert_eq!((a.endpoints.len(), &a.endpoints), (30_000, &b.endpoints));
    assert_eq!((one.take_new_omission(), other.take_new_omission()), (Some(7), Some(7)));
    assert!(a.endpoints.iter().all(|r| one.name(r.worker).is_some_and(|name| name < "w30000")));
    // The omission is reported once, and again only after a list within the maximum.
    one.apply_list(too_long.clone(), 2 * S);
    assert_eq!(one.take_new_omission(), None);
    one.apply_list(list(30_000), 3 * S);
    assert_eq!(one.take_new_omission(), None);
    one.apply_list(too_long, 4 * S);
    assert_eq!(one.take_new_omission(), Some(7));
}
