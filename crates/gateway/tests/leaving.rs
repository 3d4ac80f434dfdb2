//! Reports of draining and departed workers to the intent gate, which holds attempts until their intents are recorded.

mod common;

use common::*;
use stagehoist::Micros;
use stagehoist_gateway::state::{AttemptResult, Command, Input};
use stagehoist_recovery::intent_gate::{GateDecision, IntentGate, Limits, UnsentReason};

fn drain_changes(commands: &[Command]) -> Vec<Option<Micros>> {
    let change = |c: &Command| match c {
        Command::WorkerDraining { since, .. } => Some(*since),
        _ => None,
    };
    commands.iter().filter_map(change).collect()
}

#[test]
fn an_attempt_held_while_its_worker_drains_is_sent_within_the_grace_and_not_later() {
    let mut stage = Stage::alone();
    stage.core.report_drains();
    stage.list(&["w1", "w2", "w3"]);
    let commands = stage.call(1, "recurring");
    assert_eq!(drain_changes(&commands), [], "all serve");
    let attempt = attempts(&commands).remove(0);
    for (wait, is_sent) in [(90 * MS, true), (110 * MS, false)] {
        let mut gate = IntentGate::new(Limits::default());
        let id = (attempt.request, attempt.attempt);
        let decision = gate.submit((1, id), attempt.worker, attempt.deadline, (), stage.now);
        assert_eq!(decision, GateDecision::Wait { record: true });
        // The worker announces draining in the response to a health check.
        let health_checked = |draining| Input::HealthChecked {
            worker: attempt.worker,
            sent: 0,
            outcome: stagehoist::Outcome::Ok,
            report: None,
            draining: Some(draining),
        };
        for command in stage.turn(MS, vec![health_checked(true)]) {
            if let Command::WorkerDraining { worker, since } = command {
                assert_eq!((worker, since), (attempt.worker, Some(stage.now)));
                gate.set_worker_state(worker, since);
            }
        }
        let decisions: Vec<_> =
            gate.on_recorded(1, true, stage.now + wait).into_iter().map(|s| s.1).collect();
        let expected = if is_sent {
            GateDecision::Send(())
        } else {
            GateDecision::Unsent((), UnsentReason::WorkerDraining)
        };
        assert_eq!(decisions, [expected]);
        assert_eq!(drain_changes(&stage.turn(MS, vec![health_checked(false)])), [None], "it serves again");
    }
}

#[test]
fn departed_workers_are_reported_once_and_then_forgotten() {
    let mut stage = Stage::alone();
    stage.core.report_drains();
    stage.list(&["w1", "w2", "w3"]);
    assert_eq!(drain_changes(&stage.list(&["w1"])), [Some(Micros::MIN); 2]);
    assert_eq!(drain_changes(&stage.list(&["w1"])), []);
    assert_eq!(drain_changes(&stage.turn(31_000 * MS, Vec::new())), [None; 2]);
    assert_eq!(drain_changes(&stage.turn(31_000 * MS, Vec::new())), []);
}

#[test]
fn without_intents_no_drain_is_reported() {
    let mut stage = Stage::alone();
    assert_eq!(drain_changes(&stage.list(&["w1"])), []);
    let result =
        AttemptResult { draining: Some(true), ..AttemptResult::without_answer(stagehoist::Outcome::Ok) };
    let attempt = attempts(&stage.call(1, "recurring")).remove(0);
    let ended = Input::AttemptEnded { request: attempt.request, attempt: attempt.attempt, result };
    assert_eq!(drain_changes(&stage.turn(MS, vec![ended])), []);
}
