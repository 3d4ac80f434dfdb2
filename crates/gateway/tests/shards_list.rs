//! Own shards by a list of front ends: it comes, changes, fails, stalls and heals, and front ends' lists differ.

mod world;

use stagehoist_gateway::discovery::front_ends::{parse_body, parse_text, Entry};
use stagehoist_gateway::shards::{front_end_config, OwnedShards, Ownership};
use stagehoist_sharding::{ranked, Shard, MAX_MEMBERS};
use std::collections::{BTreeMap, BTreeSet};
use world::*;

const S: i64 = 1_000_000;
/// Of a list looked at every 250 ms.
const HANDOVER: i64 = 1_250_000;

fn entry(number: u32, zone: &str) -> Entry {
    Entry { name: format!("front-end-{number}"), zone: zone.into(), serves: (1, 1) }
}

/// Even numbers are of the one zone, odd ones of the other.
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

fn own_of(owned: &[OwnedShards]) -> BTreeSet<Shard> {
    owned.iter().flat_map(|o| o.current.clone()).collect()
}

/// Own shards of front ends with these lists.
fn owners<'a>(
    lists: impl IntoIterator<Item = (u32, &'a [Entry])>,
    fleet: u32,
    shards: u32,
) -> BTreeMap<u32, BTreeSet<Shard>> {
    let of = |(number, list): (u32, &[Entry])| {
        (number, own_of(&ownership(number, fleet, shards).listed(list, 0).unwrap()))
    };
    lists.into_iter().map(of).collect()
}

/// Shards that lack a consumer in one of the zones.
fn lacking(owners: &BTreeMap<u32, BTreeSet<Shard>>, shards: u32) -> Vec<Shard> {
    let has = |z: u32, s: &Shard| owners.iter().any(|(n, own)| n % 2 == z && own.contains(s));
    (0..shards).filter(|s| !has(0, s) || !has(1, s)).collect()
}

#[test]
fn nothing_is_owned_before_the_first_list_and_a_list_that_is_the_same_changes_nothing() {
    let config = of(3, 8, 4);
    assert_eq!(config.consume.len(), 1, "the queues come with the list");
    let mut it = Ownership::new(&config).unwrap();
    assert!(!it.is_known() && it.due().is_none() && it.tick(S).is_none());
    let mut whole = list(0..8);
    let first = it.listed(&whole, S).unwrap();
    assert!(!own_of(&first).is_empty() && it.front_end_count() == 3, "{first:?}");
    whole.reverse();
    assert!(it.listed(&whole, 2 * S).is_none() && it.due().is_none());
    assert_eq!(it.changes, 1);
}

/// One that a list leaves out counts itself, also where that list has nobody else.
#[test]
fn a_front_end_that_the_list_leaves_out_counts_itself() {
    let others: Vec<u32> = (0..8).filter(|n| *n != 3).collect();
    let (left_out, listed) = (list(others), list(0..8));
    let own = |list: &[Entry]| own_of(&ownership(3, 8, 4).listed(list, 0).unwrap());
    assert_eq!(own(&left_out), own(&listed));
    assert_eq!(own(&[]), (0..4).collect());
}

/// By changes and anew the same is owned in the end, whatever came between.
#[test]
fn the_way_to_a_list_makes_no_difference() {
    let mut changes = 0;
    for number in (0..64).filter(|n| n % 41 != 39) {
        let mut it = ownership(number, 64, 16);
        let mut last = None;
        for gone in 0..40u32 {
            let now = list((0..64).filter(|n| n % 41 != gone));
            last = it.listed(&now, 10 * S * i64::from(gone)).or(last);
        }
        let end = list((0..64).filter(|n| n % 41 != 39));
        let anew = ownership(number, 64, 16).listed(&end, 0).unwrap();
        assert_eq!(own_of(&last.unwrap()), own_of(&anew), "{number}");
        changes += it.changes - 1;
    }
    assert!(changes > 0, "nothing changed on the way");
}

/// Two front ends dead and two new that half of all know of. The control is ownership by number, which looks at no zones.
#[test]
fn each_queue_has_a_consumer_in_two_zones_while_lists_differ() {
    let (old, new) = (list(0..16), list((0..18).filter(|n| *n != 4 && *n != 7)));
    let knows = |n: u32| if n % 4 < 2 { &new[..] } else { &old[..] };
    let alive = (0..18).filter(|n| *n != 4 && *n != 7);
    let all = owners(alive.map(|n| (n, knows(n))), 18, 8);
    assert!(lacking(&all, 8).is_empty());
    let config = of(0, 18, 8);
    let division = config.sharding.as_ref().unwrap().divisions.old();
    let by_number = (0..18).map(|n| (n, ranked(division, n, 18).unwrap().into_iter().collect())).collect();
    assert!(!lacking(&by_number, 8).is_empty(), "the check sees nothing");
}

/// A front end dies: its shards have owners in its zone by the next list, and about its part moves, none in the other zone.
#[test]
fn one_front_end_in_or_out_moves_about_its_own_part() {
    let (fleet, shards) = (48, 12);
    let whole = list(0..fleet);
    let before = owners((0..fleet).map(|n| (n, &whole[..])), fleet, shards);
    let pairs: usize = before.values().map(BTreeSet::len).sum();
    let (mut moved, mut most) = (0, 0);
    for dead in 0..fleet {
        let without = list((0..fleet).filter(|n| *n != dead));
        let alive = (0..fleet).filter(|n| *n != dead);
        let after = owners(alive.map(|n| (n, &without[..])), fleet, shards);
        assert!(lacking(&after, shards).is_empty(), "without {dead}");
        let differ = after.iter().map(|(n, own)| (n, own.symmetric_difference(&before[n]).count()));
        let differ: Vec<(&u32, usize)> = differ.filter(|d| d.1 > 0).collect();
        assert!(differ.iter().all(|d| *d.0 % 2 == dead % 2), "moved in the other zone");
        let of_this: usize = differ.iter().map(|d| d.1).sum();
        (moved, most) = (moved + of_this, most.max(of_this));
    }
    let mean = moved as f64 / f64::from(fleet);
    println!("of {pairs} pairs of front end and shard one death moves {mean:.2} others, at most {most}");
    assert!(mean < 4.0 && most <= 12, "{mean} {most}");
}

/// Its queue is consumed until all know the list, then what is under way over it is taken, then it is let go.
#[test]
fn a_shard_that_goes_is_handed_over_and_one_that_comes_back_stays() {
    // Alone in its zone it has all; a second comes and takes a part.
    let mut it = ownership(0, 8, 4);
    assert_eq!(it.handover(), HANDOVER);
    it.listed(&list([0]), 0).unwrap();
    let now = it.listed(&list([0, 2]), S).unwrap().remove(0);
    assert!(!now.leaving.is_empty() && now.retained.is_empty());
    let all: Vec<Shard> = (0..4).collect();
    assert_eq!(now.served(), all);
    assert_eq!(now.consumed().collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(it.due(), Some(S + HANDOVER));
    assert!(it.tick(S + HANDOVER - 1).is_none());
    let kept = it.tick(S + HANDOVER).unwrap().remove(0);
    assert_eq!((&kept.retained, &kept.leaving[..]), (&now.leaving, &[][..]));
    assert_eq!((kept.served(), kept.consumed().collect::<Vec<_>>()), (all.clone(), now.current.clone()));
    assert_eq!(it.due(), Some(S + 2 * HANDOVER));
    let gone = it.tick(S + 2 * HANDOVER).unwrap().remove(0);
    assert_eq!((gone.served(), it.due()), (now.current.clone(), None));
    // The other dies, and is back before anything of its shards was left.
    let alone = it.listed(&list([0]), 20 * S).unwrap().remove(0);
    assert_eq!(alone.current, all);
    it.listed(&list([0, 2]), 21 * S).unwrap();
    let back = it.listed(&list([0]), 21 * S + HANDOVER / 2).unwrap().remove(0);
    assert_eq!((back.current, back.leaving, it.due()), (all, vec![], None));
}

/// Front ends of a generation alone count in its division; a tag of it comes with the restart.
#[test]
fn those_that_serve_another_generation_are_not_counted() {
    let mut later = list(0..8);
    later.iter_mut().filter(|e| e.name != "front-end-2").for_each(|e| e.serves = (2, 3));
    assert_eq!(own_of(&ownership(2, 8, 4).listed(&later, 0).unwrap()), (0..4).collect());
    later.iter_mut().for_each(|e| e.serves = (1, 2));
    assert!(own_of(&ownership(2, 8, 4).listed(&later, 0).unwrap()).len() < 4);
}

#[test]
fn a_list_over_the_bound_is_cut_and_service_goes_on() {
    let mut it = ownership(0, 8, 4);
    let long = list((0..2 * MAX_MEMBERS as u32 + 200).filter(|n| n % 2 == 0));
    let owned = it.listed(&long, 0).unwrap();
    assert!(!own_of(&owned).is_empty());
    assert_eq!(it.front_end_count(), MAX_MEMBERS - 1);
}

#[test]
fn an_answer_and_a_file_tell_names_zones_and_generations() {
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
