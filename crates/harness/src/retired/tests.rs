//! Tests of `retired`.

use super::*;

#[test]
fn a_retirement_is_followed_from_proposed_to_in_force_for_all() {
    let mut retirements = Retirements::default();
    retirements.asked("clashes", 1_000);
    retirements.read("clashes 1 proposed 12\n", 2_000);
    assert_eq!(retirements.seen["clashes"].in_force, None);
    retirements.read("clashes 1 in-force 30 but-for fe-2/0,fe-4\n# version 9\n", 5_000);
    let seen = &retirements.seen["clashes"];
    assert_eq!((seen.proposed, seen.in_force), (Some(2_000), Some(5_000)));
    assert_eq!(seen.confirmed_from, BTreeMap::from([(2, NEVER), (4, NEVER)]));
    retirements.read("clashes 1 in-force 30 but-for fe-4\n", 7_000);
    retirements.read("clashes 1 in-force 30\n", 9_000);
    let seen = &retirements.seen["clashes"];
    assert_eq!(seen.in_force, Some(5_000));
    assert_eq!(seen.confirmed_from, BTreeMap::from([(2, 7_000), (4, 9_000)]));
    let told = &retirements.charter()[0];
    assert_eq!((told.function.as_str(), told.in_force), ("clashes", Some(5_000)));
    assert_eq!(told.confirmed_from, seen.confirmed_from);
    assert_eq!(retirements.after_ms(), BTreeMap::from([("clashes".to_string(), Some(4.0))]));
}

#[test]
fn a_front_end_that_was_held_to_it_is_not_let_off_by_a_later_file() {
    let mut retirements = Retirements::default();
    retirements.read("a 1 in-force 3 but-for fe-1\n", 10);
    retirements.read("a 1 in-force 3\n", 20);
    retirements.read("a 1 in-force 3 but-for fe-0,fe-1\n", 30);
    assert_eq!(retirements.seen["a"].confirmed_from, BTreeMap::from([(1, 20)]));
    retirements.read("a 1 proposed 3\n", 40);
    retirements.read("", 50);
    assert_eq!(retirements.seen["a"].in_force, Some(10));
}

#[test]
fn half_lines_and_strange_lines_are_passed_over() {
    let mut retirements = Retirements::default();
    let text = "# in force\n\na x in-force 3\nb 1 asked 3\nc 1\nd 1 in-force 3 but-for fe-1\ne 1 in-force 3 but-for fe-";
    retirements.read(text, 10);
    assert_eq!(retirements.seen["d"].confirmed_from, BTreeMap::from([(1, NEVER)]));
    assert!(!retirements.seen.contains_key("e") && !retirements.seen.contains_key("a"));
    assert_eq!(retirements.seen["b"].in_force, None);
}
