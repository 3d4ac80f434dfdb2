//! Which workers leave, as whoever holds attempts for their intents is notified of it.

mod common;

use common::*;
use stagehoist::Micros;
use stagehoist_gateway::state::{AttemptResult, Command, Input};
use stagehoist_recovery::intent_gate::{GateDecision, IntentGate, Limits, UnsentReason};

fn leaving(commands: &[Command]) -> Vec<Option<Micros>> {
    let told = |c: &Command| match c {
        Command::WorkerDraining { since, .. } => Some(*since),
        _ => None,
    };
    commands.iter().filter_map(told).collect()
}

#[test]
fn an_attempt_that_waits_while_its_worker_drains_leaves_within_the_grace_and_not_later() {
    let mut stage = Stage::alone();
    stage.core.report_drains();
    stage.list(&["w1", "w2", "w3"]);
    let commands = stage.call(1, "recurring");
    assert_eq!(leaving(&commands), [], "all serve");
    let attempt = attempts(&commands).remove(0);
    for (wait, leaves) in [(90 * MS, true), (110 * MS, false)] {
        let mut held = IntentGate::new(Limits::default());
        let id = (attempt.request, attempt.attempt);
        let step = held.submit((1, id), attempt.worker, attempt.deadline, (), stage.now);
        assert_eq!(step, GateDecision::Wait { record: true });
        // The worker's own word, in the answer to a health check.
        let probed = |draining| Input::HealthChecked {
            worker: attempt.worker,
            sent: 0,
            outcome: stagehoist::Outcome::Ok,
            report: None,
            draining: Some(draining),
        };
        for command in stage.turn(MS, vec![probed(true)]) {
            if let Command::WorkerDraining { worker, since } = command {
                assert_eq!((worker, since), (attempt.worker, Some(stage.now)));
                held.set_worker_state(worker, since);
            }
        }
        let steps: Vec<_> = held.on_recorded(1, true, stage.now + wait).into_iter().map(|s| s.1).collect();
        let expected = if leaves {
            GateDecision::Send(())
        } else {
            GateDecision::Unsent((), UnsentReason::WorkerDraining)
        };
        assert_eq!(steps, [expected]);
        assert_eq!(leaving(&stage.turn(MS, vec![probed(false)])), [None], "it serves again");
    }
}

#[test]
fn workers_that_are_gone_are_told_once_and_forgotten() {
    let mut stage = Stage::alone();
    stage.core.report_drains();
    stage.list(&["w1", "w2", "w3"]);
    assert_eq!(leaving(&stage.list(&["w1"])), [Some(Micros::MIN); 2]);
    assert_eq!(leaving(&stage.list(&["w1"])), []);
    assert_eq!(leaving(&stage.turn(31_000 * MS, Vec::new())), [None; 2]);
    assert_eq!(leaving(&stage.turn(31_000 * MS, Vec::new())), []);
}

#[test]
fn without_marks_nothing_of_it_is_told() {
    let mut stage = Stage::alone();
    assert_eq!(leaving(&stage.list(&["w1"])), []);
    let result =
        AttemptResult { draining: Some(true), ..AttemptResult::without_answer(stagehoist::Outcome::Ok) };
    let attempt = attempts(&stage.call(1, "recurring")).remove(0);
    let ended = Input::AttemptEnded { request: attempt.request, attempt: attempt.attempt, result };
    assert_eq!(leaving(&stage.turn(MS, vec![ended])), []);
}
