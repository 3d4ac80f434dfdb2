//! The cluster state itself, a region alone in simulated time, and intents: counts, and the faults that change them.

use stagehoist_scale_tests::letter;
use stagehoist_scale_tests::record::apart::{play, Course, Plan};
use stagehoist_scale_tests::record::state::{taken, Grown, Taken};
use stagehoist_scale_tests::record::{marks, Settings};
use std::collections::BTreeSet;

fn cut(members: usize, seconds: i64, strict: f64) -> Plan {
    let terms = Settings::default().terms();
    Plan { members, cut: seconds * 1_000_000, strict, majority: true, bounded: true, seed: 7, terms }
}

fn zone() -> usize {
    (letter::FRONT_ENDS / letter::ZONES).ceil() as usize
}

#[test]
fn the_record_takes_fewer_members_changes_and_restarts_than_the_letter_asks_for() {
    let offered = Taken { members: 7200, retirements: letter::CHANGES as usize, replaced: zone() };
    let got = taken(offered.members, offered.retirements, offered.replaced);
    assert_eq!(got, Taken { members: 4096, retirements: 4096, replaced: 1024 });
    let half = taken(2000, 2000, 500);
    assert_eq!(half, Taken { members: 2000, retirements: 2000, replaced: 500 });
}

#[test]
fn a_members_name_and_a_retirement_cost_the_same_bytes_at_every_size() {
    let bytes = |members: usize, retired: usize| {
        let mut grown = Grown::default();
        grown.join(0, members);
        grown.retire(0, retired, &BTreeSet::new());
        grown.bytes().unwrap()
    };
    let (none, members, retired) = (bytes(0, 0), bytes(1000, 0), bytes(1000, 1000));
    let member = (members.whole - none.whole) as f64 / 1000.0;
    let line = (retired.view - members.view) as f64 / 1000.0;
    assert!((15.0..25.0).contains(&member), "{member} bytes a member");
    assert!((60.0..110.0).contains(&line), "{line} bytes a retirement");
    assert!(members.view < 20, "members are no part of the view");
}

#[test]
fn the_view_grows_with_each_member_that_a_change_is_not_in_force_at() {
    let mut grown = Grown::default();
    grown.join(0, 200);
    let all: BTreeSet<_> = grown.record.present().collect();
    grown.retire(0, 10, &BTreeSet::new());
    let without = grown.bytes().unwrap().view;
    grown.retire(10, 10, &all);
    let with = grown.bytes().unwrap().view;
    assert!(with - without > 10 * 200 * 12, "{with} and {without}");
}

#[test]
fn a_region_alone_goes_on_with_the_majority_and_the_other_catches_up() {
    let Course { proposed, taken, forced, waited, joined, healed_s, stale_s, stale_near_s, .. } =
        play(cut(20, 300, 0.5)).unwrap();
    assert!(proposed > 20 && waited > 20, "{proposed} {waited}");
    assert_eq!((taken, joined), (proposed, waited));
    // The last may be under way as the cut ends.
    assert!(forced + 2 >= taken, "{forced} of {taken}");
    assert!(healed_s.is_some());
    assert_eq!(stale_near_s, 0.0);
    assert!(stale_s > 295.0, "{stale_s}");
}

#[test]
fn without_a_majority_nothing_is_agreed_on_and_nobody_is_promised_anything() {
    let course = play(Plan { majority: false, ..cut(20, 300, 0.5) }).unwrap();
    assert_eq!((course.taken, course.forced), (0, 0));
    assert!(course.stale_near_s > 295.0 && course.stale_s > 295.0, "{course:?}");
}

#[test]
fn marks_are_found_again_as_long_as_the_store_may_hold_them() {
    let folder = tempfile::tempdir().unwrap();
    let whole = marks::held(folder.path(), 3000, 10_000).unwrap();
    assert_eq!(whole.known, 3000);
    let short = marks::held(folder.path(), 3000, 300).unwrap();
    assert!(short.known <= 300, "{short:?}");
}

#[test]
fn a_store_that_is_not_told_of_its_run_marks_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let told = marks::paced(folder.path(), 100.0, 0.2, true).unwrap();
    assert_eq!((told.asked, told.marked), (20, 20));
    let untold = marks::paced(&folder.path().join("other"), 100.0, 0.2, false).unwrap();
    assert_eq!((untold.asked, untold.marked), (20, 0));
}
