//! Tests of the owned shards by a list of front ends, when the list is first received, changes, fails, stalls and
//! recovers, and when front ends have different lists.

mod world;

use stagehoist_gateway::discovery::front_ends::{parse_body, parse_text, Entry};
use stagehoist_gateway::shards::{front_end_config, OwnedShards, Ownership};
use stagehoist_sharding::{ranked, Shard, MAX_MEMBERS};
use std::collections::{BTreeMap, BTreeSet};
use world::*;

const S: i64 = 1_000_000;
/// Handover time of a list that is polled every 250 ms.
const HANDOVER: i64 = 1_250_000;

fn entry(number: u32, zone: &str) -> Entry {
    Entry { name: format!("front-end-{number}"), zone: zone.into(), serves: (1, 1) }
}

/// Front ends with even numbers are in one zone, those with odd numbers in the other.
fn zone(number: u32) -> &'static str {
    ["north", "south"][number as usize % 2]
}

fn list(numbers: impl IntoIterator<Item = u32>) -> Vec<Entry> {
    numbers.into_iter().map(|n| entry(n, zone(n))).collect()
}

fn of(number: u32, fleet: u32, shards: u32) -> Config {
    let text = format!(
        "fleet-front-ends {fleet}\nzone-names north,south\nzone {}\nshards {shards} generation 1\n\
         shard-front-ends-list file front-ends.list\n",
        zone(number)
    );
    front_end_config(Config::clone(&config(&text)), number)
}

fn ownership(number: u32, fleet: u32, shards: u32) -> Ownership {
    Ownership::new(&of(number, fleet, shards)).unwrap()
}

fn current_shards(owned: &[OwnedShards]) -> BTreeSet<Shard> {
    owned.iter().flat_map(|o| o.current.clone()).collect()
}

/// Returns the owned shards of front ends with these lists.
fn owners<'a>(
    lists: impl IntoIterator<Item = (u32, &'a [Entry])>,
    fleet: u32,
    shards: u32,
) -> BTreeMap<u32, BTreeSet<Shard>> {
    let of = |(number, list): (u32, &[Entry])| {
        (number, current_shards(&ownership(number, fleet, shards).listed(list, 0).unwrap()))
    };
    lists.into_iter().map(of).collect()
}

/// Returns the shards that lack a consumer in one of the zones.
fn lacking(owners: &BTreeMap<u32, BTreeSet<Shard>>, shards: u32) -> Vec<Shard> {
    let has = |z: u32, s: &Shard| owners.iter().any(|(n, own)| n % 2 == z && own.contains(s));
    (0..shards).filter(|s| !has(0, s) || !has(1, s)).collect()
}

#[test]
fn nothing_is_owned_before_the_first_list_and_a_list_that_is_the_same_changes_nothing() {
    let config = of(3, 8, 4);
    assert_eq!(config.consume.len(), 1, "queues exist only once the list is received");
    let mut ownership_state = Ownership::new(&config).unwrap();
    assert!(
        !ownership_state.is_known() && ownership_state.due().is_none() && ownership_state.tick(S).is_none()
    );
    let mut full_list = list(0..8);
    let first = ownership_state.listed(&full_list, S).unwrap();
    assert!(!current_shards(&first).is_empty() && ownership_state.front_end_count() == 3, "{first:?}");
    full_list.reverse();
    assert!(ownership_state.listed(&full_list, 2 * S).is_none() && ownership_state.due().is_none());
    assert_eq!(ownership_state.changes, 1);
}

/// A front end that a list leaves out counts itself, also if the list has no other front end.
#[test]
fn a_front_end_that_the_list_leaves_out_counts_itself() {
    let others: Vec<u32> = (0..8).filter(|n| *n != 3).collect();
    let (left_out, listed) = (list(others), list(0..8));
    let own = |list: &[Entry]| current_shards(&ownership(3, 8, 4).listed(list, 0).unwrap());
    assert_eq!(own(&left_out), own(&listed));
    assert_eq!(own(&[]), (0..4).collect());
}

/// Incremental changes and a single list give the same owned shards in the end, whatever the lists in between.
#[test]
fn the_lists_in_between_make_no_difference() {
    let mut changes = 0;
    for number in (0..64).filter(|n| n % 41 != 39) {
        let mut ownership_state = ownership(number, 64, 16);
        let mut last = None;
        for gone in 0..40u32 {
            let now = list((0..64).filter(|n| n % 41 != gone));
            last = ownership_state.listed(&now, 10 * S * i64::from(gone)).or(last);
        }
        let end = list((0..64).filter(|n| n % 41 != 39));
        let fresh = ownership(number, 64, 16).listed(&end, 0).unwrap();
        assert_eq!(current_shards(&last.unwrap()), current_shards(&fresh), "{number}");
        changes += ownership_state.changes - 1;
    }
    assert!(changes > 0, "no list changed the owned shards");
}

/// Two front ends die and two are added, which only half of all front ends know. The negative control is ownership by
/// number, which ignores zones.
#[test]
fn each_queue_has_a_consumer_in_two_zones_while_lists_differ() {
    let (old, new) = (list(0..16), list((0..18).filter(|n| *n != 4 && *n != 7)));
    let known_list = |n: u32| if n % 4 < 2 { &new[..] } else { &old[..] };
    let alive = (0..18).filter(|n| *n != 4 && *n != 7);
    let all = owners(alive.map(|n| (n, known_list(n))), 18, 8);
    assert!(lacking(&all, 8).is_empty());
    let config = of(0, 18, 8);
    let division = config.sharding.as_ref().unwrap().divisions.old();
    let by_number = (0..18).map(|n| (n, ranked(division, n, 18).unwrap().into_iter().collect())).collect();
    assert!(
        !lacking(&by_number, 8).is_empty(),
        "the check detects no missing consumer in the negative control"
    );
}

/// A front end dies: its shards have owners in its zone by the next list. Only about its share of the shards moves,
/// and none in the other zone.
#[test]
fn one_front_end_less_moves_only_about_its_own_share() {
    let (fleet, shards) = (48, 12);
    let full_list = list(0..fleet);
    let before = owners((0..fleet).map(|n| (n, &full_list[..])), fleet, shards);
    let pairs: usize = before.values().map(BTreeSet::len).sum();
    let (mut moved, mut most) = (0, 0);
    for dead in 0..fleet {
        let without = list((0..fleet).filter(|n| *n != dead));
        let alive = (0..fleet).filter(|n| *n != dead);
        let after = owners(alive.map(|n| (n, &without[..])), fleet, shards);
        assert!(lacking(&after, shards).is_empty(), "without {dead}");
        let changed = after.iter().map(|(n, own)| (n, own.symmetric_difference(&before[n]).count()));
        let changed: Vec<(&u32, usize)> = changed.filter(|d| d.1 > 0).collect();
        assert!(changed.iter().all(|d| *d.0 % 2 == dead % 2), "a shard moved in the other zone");
        let moved_now: usize = changed.iter().map(|d| d.1).sum();
        (moved, most) = (moved + moved_now, most.max(moved_now));
    }
    let mean = moved as f64 / f64::from(fleet);
    println!("of {pairs} pairs of front end and shard one death moves {mean:.2} others, at most {most}");
    assert!(mean < 4.0 && most <= 12, "{mean} {most}");
}

/// The queue of a lost shard is consumed until all know the list; then its late deliveries are accepted; then it is
/// released.
#[test]
fn a_lost_shard_is_handed_over_and_a_regained_one_is_kept() {
    // Alone in its zone it owns all shards; a second front end is added and gets a part.
    let mut ownership_state = ownership(0, 8, 4);
    assert_eq!(ownership_state.handover_time(), HANDOVER);
    ownership_state.listed(&list([0]), 0).unwrap();
    let now = ownership_state.listed(&list([0, 2]), S).unwrap().remove(0);
    assert!(!now.leaving.is_empty() && now.retained.is_empty());
    let all: Vec<Shard> = (0..4).collect();
    assert_eq!(now.served(), all);
    assert_eq!(now.consumed().collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(ownership_state.due(), Some(S + HANDOVER));
    assert!(ownership_state.tick(S + HANDOVER - 1).is_none());
    let retained = ownership_state.tick(S + HANDOVER).unwrap().remove(0);
    assert_eq!((&retained.retained, &retained.leaving[..]), (&now.leaving, &[][..]));
    assert_eq!(
        (retained.served(), retained.consumed().collect::<Vec<_>>()),
        (all.clone(), now.current.clone())
    );
    assert_eq!(ownership_state.due(), Some(S + 2 * HANDOVER));
    let gone = ownership_state.tick(S + 2 * HANDOVER).unwrap().remove(0);
    assert_eq!((gone.served(), ownership_state.due()), (now.current.clone(), None));
    // The other front end dies, and is back before any of its shards was released.
    let alone = ownership_state.listed(&list([0]), 20 * S).unwrap().remove(0);
    assert_eq!(alone.current, all);
    ownership_state.listed(&list([0, 2]), 21 * S).unwrap();
    let back = ownership_state.listed(&list([0]), 21 * S + HANDOVER / 2).unwrap().remove(0);
    assert_eq!((back.current, back.leaving, ownership_state.due()), (all, vec![], None));
}

/// Only front ends that serve a generation count in its division; a front end gets the tag of a generation when it
/// restarts.
#[test]
fn front_ends_that_serve_another_generation_are_not_counted() {
    let mut later = list(0..8);
    later.iter_mut().filter(|e| e.name != "front-end-2").for_each(|e| e.serves = (2, 3));
    assert_eq!(current_shards(&ownership(2, 8, 4).listed(&later, 0).unwrap()), (0..4).collect());
    later.iter_mut().for_each(|e| e.serves = (1, 2));
    assert!(current_shards(&ownership(2, 8, 4).listed(&later, 0).unwrap()).len() < 4);
}

#[test]
fn a_list_over_the_maximum_is_truncated_and_service_continues() {
    let mut ownership_state = ownership(0, 8, 4);
    let long = list((0..2 * MAX_MEMBERS as u32 + 200).filter(|n| n % 2 == 0));
    let owned = ownership_state.listed(&long, 0).unwrap();
    assert!(!current_shards(&owned).is_empty());
    assert_eq!(ownership_state.front_end_count(), MAX_MEMBERS - 1);
}

#[test]
fn names_zones_and_generations_are_parsed_from_an_answer_and_a_file() {
    let body = r#"[
      {"Service":{"ID":"a","Tags":["generation-8","blue","generation-7"],"Meta":{"zone":"north"}},
        "Checks":[{"CheckID":"x","Status":"passing"}]},
      {"Service":{"ID":"b","Tags":["generation-7"],"Meta":null},"Checks":[{"CheckID":"x","Status":"critical"}]},
      {"Service":{"ID":"c","Tags":["generation-7"]},
        "Checks":[{"CheckID":"_service_maintenance:c","Status":"critical"}]},
      {"Service":{"ID":"d","Tags":null,"Meta":{"zone":"north"}}},
      {"Service":{"ID":"e","Tags":["generation-7"]}}
    ]"#;
    let e = |name: &str, zone: &str, serves| Entry { name: name.into(), zone: zone.into(), serves };
    assert_eq!(parse_body(body.as_bytes()).unwrap(), [e("a", "north", (7, 8)), e("e", "", (7, 7))]);
    assert!(parse_body(b"{}").is_err());
    let text = "# all\na generations 7-8 zone north # one\n\nb zone south generations 7\n";
    assert_eq!(parse_text(text).unwrap(), [e("a", "north", (7, 8)), e("b", "south", (7, 7))]);
    for (bad, line) in [
        ("a", 1),
        ("a zone north", 1),
        ("\na generations", 2),
        ("a generations 8-7", 1),
        ("a generations x", 1),
        ("a generations 7 port 3", 1),
    ] {
        assert_eq!(parse_text(bad).unwrap_err().0, line, "{bad}");
    }
}
