//! The cluster state's measurements at a small size, judged by counts; and with a fault put in, which must make them fall short.

use stagehoist_scale_tests::record::cluster::{Cluster, Shape};
use stagehoist_scale_tests::record::lines::Program;
use stagehoist_scale_tests::record::survey::{site, Family, Site};
use stagehoist_scale_tests::Size;
use std::path::Path;

const MEMBERS: usize = 20;

fn program() -> Program<'static> {
    Program { path: Path::new(env!("CARGO_BIN_EXE_stagehoist-scale-tests")) }
}

fn small(family: Family) -> Site {
    site(&program(), MEMBERS, Size::Small, family).unwrap()
}

#[test]
fn every_member_joins_is_shown_each_change_answers_questions_and_finds_the_next_leader() {
    let site = small(Family::Plain);
    assert_eq!(site.joined, MEMBERS);
    assert_eq!((site.single.reached, site.single.ms.len()), (MEMBERS, site.single.count));
    assert_eq!((site.burst.reached, site.burst.ms.len()), (MEMBERS, 1));
    assert_eq!(site.questions.answered, site.questions.asked);
    assert_eq!(site.loss.renewed, MEMBERS);
    // All others and the asker: a question to each, an answer of each, both passed on by the leader.
    assert!(site.questions.leader_out > (MEMBERS - 1) as f64, "{:?}", site.questions);
    assert!(site.ease.session_in > 0.0 && site.ease.session_out > 0.0, "{:?}", site.ease);
}

#[test]
fn a_member_that_never_confirms_keeps_a_strict_change_from_force() {
    let site = small(Family::Silent);
    assert_eq!(site.joined, MEMBERS + 1);
    assert_eq!((site.single.reached, site.single.ms.len()), (0, 0));
}

#[test]
fn with_two_of_three_replicas_gone_nobody_holds_a_new_promise() {
    let site = small(Family::Gone);
    assert_eq!(site.joined, MEMBERS);
    assert_eq!((site.loss.renewed, site.loss.renewed_ms), (0, None));
}

#[test]
fn reports_that_change_all_the_time_cost_many_times_as_many_messages() {
    let (sound, flapping) = (small(Family::Plain), small(Family::Flapping));
    let messages = |s: &Site| s.ease.leader_in;
    assert!(messages(&flapping) > 5.0 * messages(&sound), "{} {}", messages(&flapping), messages(&sound));
}

#[test]
fn one_replica_of_three_promises_nothing() {
    let shape = Shape { started: 1, ..Shape::of(MEMBERS) };
    let cluster = Cluster::start(&program(), &shape, 3000).unwrap();
    assert_eq!((cluster.joined, cluster.joined_ms), (0, None));
}
