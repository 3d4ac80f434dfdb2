//! A lease holder and its leader with random clock rates and random reordering, loss, duplication and delay of messages.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use stagehoist_cluster_state::{
    ClusterState, ClusterView, Command, CommandOutcome, Grant, Leader, LeaseHolder, LeaseTerms, Micros,
    Report, Retirement, RetirementMode, TombstoneState,
};

const TERMS: LeaseTerms =
    LeaseTerms { lease: 1_000_000, drift_ppm: 50_000, quorum: 500_000, tombstone_retention: 60_000_000 };

/// A step: the kind of action, the wait before it, the index of the message in transit that it delivers, and whether a copy
/// of that message stays in transit.
type Step = (u8, Micros, usize, bool);

fn clock(now: Micros, ppm: Micros) -> Micros {
    now + now * ppm / 1_000_000
}

/// Runs the steps. Returns false if the holder relied on a lease for longer than the leader counted it, or if it would still
/// have served a function whose retirement was in force.
fn holds(terms: LeaseTerms, (slow, fast): (Micros, Micros), steps: &[Step]) -> bool {
    let (mut state, mut version) = (ClusterState::default(), 1);
    let CommandOutcome::Joined(member) = state.apply(1, &Command::Join { name: "m".into(), at_least: 0 })
    else {
        return false;
    };
    let (mut leader, mut holder) = (Leader::new(terms, -terms.takeover_wait()), LeaseHolder::new(terms));
    let (mut reports, mut grants): (Vec<Report>, Vec<(Grant, ClusterView)>) = (Vec::new(), Vec::new());
    let (mut now, mut lease_end) = (0, Micros::MIN);
    for (action, wait, pick, keep_copy) in steps {
        now += wait;
        let (holder_now, leader_now) = (clock(now, slow), clock(now, fast));
        match action {
            0 => {
                let (number, confirmed) = (holder.begin_report(holder_now), holder.version());
                reports.push(Report { number, confirmed, ..Report::default() });
            }
            1 if !reports.is_empty() => {
                let index = pick % reports.len();
                let report = if *keep_copy { reports[index].clone() } else { reports.remove(index) };
                if let Some(grant) = leader.report(&state, &member, &report, leader_now, leader_now) {
                    lease_end = lease_end.max(leader_now + terms.grantor_span());
                    grants.push((grant, state.view.clone()));
                }
            }
            2 | 3 if !grants.is_empty() => {
                let index = pick % grants.len();
                let (grant, view) = if *keep_copy { grants[index].clone() } else { grants.remove(index) };
                if *action == 2 {
                    holder.on_view(view);
                }
                holder.on_grant(grant);
            }
            4 if *keep_copy && *pick == 0 => holder.on_connection_lost(),
            5 => {
                let generation = u32::try_from(version).unwrap_or(u32::MAX);
                version += 1;
                state.apply(version, &Command::Retire(retirement(generation, RetirementMode::Strict)));
            }
            _ => {}
        }
        for command in leader.due_commands(&state, leader_now) {
            version += 1;
            state.apply(version, &command);
        }
        let status = holder.status();
        // The true time, rounded down, at which the holder stops relying on the lease.
        let until = status.fresh_until.max(0) * 1_000_000 / (1_000_000 + slow);
        let has_outlived = status.fresh_until != Micros::MIN && clock(until, fast) > lease_end;
        let retired = state.view.tombstones.get("f").filter(|t| t.state != TombstoneState::Proposed);
        let serves =
            |generation| !status.is_stale(holder_now) && status.view.retired("f", generation).is_none();
        if has_outlived || retired.is_some_and(|t| serves(t.retirement.generation)) {
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
fn no_holder_outlives_the_leaders_count_and_none_serves_a_retired_function() {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let inputs = (-24_000..24_000i64, -24_000..24_000i64, steps());
    let result = TestRunner::new_with_rng(config, rng).run(&inputs, |(slow, fast, steps)| {
        prop_assert!(holds(TERMS, (slow, fast), &steps));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn without_the_drift_margin_some_sequence_outlives_the_lease() {
    let without_drift = LeaseTerms { drift_ppm: 0, ..TERMS };
    let sequence = [(0, 0, 0, false), (1, 0, 0, false), (2, 0, 0, false)];
    assert!(!holds(without_drift, (-24_000, 24_000), &sequence));
    assert!(holds(TERMS, (-24_000, 24_000), &sequence));
}

#[test]
fn a_grant_counts_once_and_not_after_its_connection_was_lost() {
    let mut holder = LeaseHolder::new(TERMS);
    let grant = |number| Grant { number, lease: TERMS.lease, ..Grant::default() };
    let (first, second) = (holder.begin_report(10), holder.begin_report(20));
    assert!(holder.on_grant(grant(second)));
    assert!(!holder.on_grant(grant(second)) && !holder.on_grant(grant(first)));
    assert_eq!(holder.status().fresh_until, 20 + TERMS.holder_span());
    let third = holder.begin_report(30);
    holder.on_connection_lost();
    assert!(!holder.on_grant(grant(third)));
}
