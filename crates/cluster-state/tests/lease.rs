//! A holder and its giver under drawn clocks and drawn order, loss, doubling and lateness of messages.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use stagehoist_cluster_state::{
    ClusterState, ClusterView, Command, CommandOutcome, Grant, Leader, LeaseHolder, LeaseTerms, Micros,
    Report, Retirement, RetirementMode, TombstoneState,
};

const TERMS: LeaseTerms =
    LeaseTerms { lease: 1_000_000, drift_ppm: 50_000, quorum: 500_000, tombstone_retention: 60_000_000 };

/// What may happen after a wait: which of the messages under way it concerns, and whether that stays under
/// way.
type Step = (u8, Micros, usize, bool);

fn clock(at: Micros, ppm: Micros) -> Micros {
    at + at * ppm / 1_000_000
}

/// Plays the steps; false where a promise was relied on for longer than its giver counted, or where a
/// function in force was still taken for served.
fn holds(terms: LeaseTerms, (slow, fast): (Micros, Micros), steps: &[Step]) -> bool {
    let (mut record, mut version) = (ClusterState::default(), 1);
    let CommandOutcome::Joined(member) = record.apply(1, &Command::Join { name: "m".into(), at_least: 0 })
    else {
        return false;
    };
    let (mut lead, mut holder) = (Leader::new(terms, -terms.takeover_wait()), LeaseHolder::new(terms));
    let (mut reports, mut answers): (Vec<Report>, Vec<(Grant, ClusterView)>) = (Vec::new(), Vec::new());
    let (mut at, mut promised) = (0, Micros::MIN);
    for (what, wait, pick, again) in steps {
        at += wait;
        let (here, there) = (clock(at, slow), clock(at, fast));
        match what {
            0 => {
                let (number, confirmed) = (holder.begin_report(here), holder.version());
                reports.push(Report { number, confirmed, ..Report::default() });
            }
            1 if !reports.is_empty() => {
                let place = pick % reports.len();
                let report = if *again { reports[place].clone() } else { reports.remove(place) };
                if let Some(grant) = lead.report(&record, &member, &report, there, there) {
                    promised = promised.max(there + terms.grantor_span());
                    answers.push((grant, record.view.clone()));
                }
            }
            2 | 3 if !answers.is_empty() => {
                let place = pick % answers.len();
                let (grant, view) = if *again { answers[place].clone() } else { answers.remove(place) };
                if *what == 2 {
                    holder.on_view(view);
                }
                holder.on_grant(grant);
            }
            4 if *again && *pick == 0 => holder.on_connection_lost(),
            5 => {
                let generation = u32::try_from(version).unwrap_or(u32::MAX);
                version += 1;
                record.apply(version, &Command::Retire(retirement(generation, RetirementMode::Strict)));
            }
            _ => {}
        }
        for command in lead.due_commands(&record, there) {
            version += 1;
            record.apply(version, &command);
        }
        let standing = holder.status();
        // The moment by true time, rounded down, at which the holder stops relying on it.
        let until = standing.fresh_until.max(0) * 1_000_000 / (1_000_000 + slow);
        let outlived = standing.fresh_until != Micros::MIN && clock(until, fast) > promised;
        let retired = record.view.tombstones.get("f").filter(|t| t.state != TombstoneState::Proposed);
        let serves =
            |generation| !standing.is_stale(here) && standing.view.retired("f", generation).is_none();
        if outlived || retired.is_some_and(|t| serves(t.retirement.generation)) {
            return false;
        }
    }
    true
}

fn retirement(generation: u32, mode: RetirementMode) -> Retirement {
    Retirement {
        function: "f".into(),
        generation,
        successor: None,
        reason: String::new(),
        mode,
        requested_ms: 0,
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0..6u8, 0..400_000i64, 0..8usize, any::<bool>()), 1..120)
}

#[test]
fn no_holder_outlives_its_givers_count_and_none_serves_what_is_in_force() {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let drawn = (-24_000..24_000i64, -24_000..24_000i64, steps());
    let result = TestRunner::new_with_rng(config, rng).run(&drawn, |(slow, fast, steps)| {
        prop_assert!(holds(TERMS, (slow, fast), &steps));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn without_the_drift_taken_off_some_course_outlives_it() {
    let careless = LeaseTerms { drift_ppm: 0, ..TERMS };
    let course = [(0, 0, 0, false), (1, 0, 0, false), (2, 0, 0, false)];
    assert!(!holds(careless, (-24_000, 24_000), &course));
    assert!(holds(TERMS, (-24_000, 24_000), &course));
}

#[test]
fn an_answer_counts_once_and_not_after_its_connection_was_lost() {
    let mut holder = LeaseHolder::new(TERMS);
    let answer = |number| Grant { number, lease: TERMS.lease, ..Grant::default() };
    let (first, second) = (holder.begin_report(10), holder.begin_report(20));
    assert!(holder.on_grant(answer(second)));
    assert!(!holder.on_grant(answer(second)) && !holder.on_grant(answer(first)));
    assert_eq!(holder.status().fresh_until, 20 + TERMS.holder_span());
    let third = holder.begin_report(30);
    holder.on_connection_lost();
    assert!(!holder.on_grant(answer(third)));
}
