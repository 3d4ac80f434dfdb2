//! A holder and its giver under drawn clocks and drawn order, loss, doubling and lateness of messages.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use stagehoist_cluster_state::{
    Command, Done, Grant, Holder, Lead, Micros, Mode, Record, Report, Retirement, State, Terms, View,
};

const TERMS: Terms = Terms { lease: 1_000_000, drift_ppm: 50_000, quorum: 500_000, remember: 60_000_000 };

/// What may happen after a wait: which of the messages under way it concerns, and whether that stays under
/// way.
type Step = (u8, Micros, usize, bool);

fn clock(at: Micros, ppm: Micros) -> Micros {
    at + at * ppm / 1_000_000
}

/// Plays the steps; false where a promise was relied on for longer than its giver counted, or where a
/// function in force was still taken for served.
fn kept(terms: Terms, (slow, fast): (Micros, Micros), steps: &[Step]) -> bool {
    let (mut record, mut version) = (Record::default(), 1);
    let Done::Joined(member) = record.apply(1, &Command::Join { name: "m".into(), at_least: 0 }) else {
        return false;
    };
    let (mut lead, mut holder) = (Lead::new(terms, -terms.silence()), Holder::new(terms));
    let (mut reports, mut answers): (Vec<Report>, Vec<(Grant, View)>) = (Vec::new(), Vec::new());
    let (mut at, mut promised) = (0, Micros::MIN);
    for (what, wait, pick, again) in steps {
        at += wait;
        let (here, there) = (clock(at, slow), clock(at, fast));
        match what {
            0 => {
                let (number, confirmed) = (holder.ask(here), holder.version());
                reports.push(Report { number, confirmed, ..Report::default() });
            }
            1 if !reports.is_empty() => {
                let place = pick % reports.len();
                let report = if *again { reports[place].clone() } else { reports.remove(place) };
                if let Some(grant) = lead.report(&record, &member, &report, there, there) {
                    promised = promised.max(there + terms.given());
                    answers.push((grant, record.view.clone()));
                }
            }
            2 | 3 if !answers.is_empty() => {
                let place = pick % answers.len();
                let (grant, view) = if *again { answers[place].clone() } else { answers.remove(place) };
                if *what == 2 {
                    holder.view(view);
                }
                holder.grant(grant);
            }
            4 if *again && *pick == 0 => holder.lost(),
            5 => {
                let generation = u32::try_from(version).unwrap_or(u32::MAX);
                version += 1;
                record.apply(version, &Command::Retire(retirement(generation, Mode::Strict)));
            }
            _ => {}
        }
        for command in lead.due(&record, there) {
            version += 1;
            record.apply(version, &command);
        }
        let standing = holder.standing();
        // The moment by true time, rounded down, at which the holder stops relying on it.
        let until = standing.fresh_until.max(0) * 1_000_000 / (1_000_000 + slow);
        let outlived = standing.fresh_until != Micros::MIN && clock(until, fast) > promised;
        let retired = record.view.tombstones.get("f").filter(|t| t.state != State::Proposed);
        let serves =
            |generation| !standing.is_stale(here) && standing.view.retired("f", generation).is_none();
        if outlived || retired.is_some_and(|t| serves(t.retirement.generation)) {
            return false;
        }
    }
    true
}

fn retirement(generation: u32, mode: Mode) -> Retirement {
    Retirement { function: "f".into(), generation, successor: None, reason: String::new(), mode, asked_ms: 0 }
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
        prop_assert!(kept(TERMS, (slow, fast), &steps));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn without_the_drift_taken_off_some_course_outlives_it() {
    let careless = Terms { drift_ppm: 0, ..TERMS };
    let course = [(0, 0, 0, false), (1, 0, 0, false), (2, 0, 0, false)];
    assert!(!kept(careless, (-24_000, 24_000), &course));
    assert!(kept(TERMS, (-24_000, 24_000), &course));
}

#[test]
fn an_answer_counts_once_and_not_after_its_connection_was_lost() {
    let mut holder = Holder::new(TERMS);
    let answer = |number| Grant { number, lease: TERMS.lease, ..Grant::default() };
    let (first, second) = (holder.ask(10), holder.ask(20));
    assert!(holder.grant(answer(second)));
    assert!(!holder.grant(answer(second)) && !holder.grant(answer(first)));
    assert_eq!(holder.standing().fresh_until, 20 + TERMS.held());
    let third = holder.ask(30);
    holder.lost();
    assert!(!holder.grant(answer(third)));
}
