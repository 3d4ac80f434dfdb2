//! What an emulator worker holds and does, by time alone.

use stagehoist_emulator::worker::model::{Found, Model, Refusal, Step};
use stagehoist_emulator::worker::{Program, Spec};

const MS: i64 = 1000;
const S: i64 = 1_000_000;

fn program(memory: u64, lanes: usize) -> Program {
    Program { memory, lanes, start: 50 * MS, run: 20 * MS }
}

struct Stand {
    model: Model,
    steps: Vec<Step>,
}

impl Stand {
    fn new(spec: Spec) -> Stand {
        Stand { model: Model::new(spec, i64::MIN / 4), steps: Vec::new() }
    }
    fn call(&mut self, call: u64, name: &str, p: &Program, now: i64) -> Vec<Step> {
        self.model.arrive(call, name, p, now, &mut self.steps);
        std::mem::take(&mut self.steps)
    }
    fn loaded(&mut self, name: &str, ok: bool, now: i64) -> Vec<Step> {
        self.model.loaded(name, ok, now, &mut self.steps);
        std::mem::take(&mut self.steps)
    }
    fn standing(&self) -> Vec<(&str, usize)> {
        self.model.standing().collect()
    }
}

fn runs(steps: &[Step]) -> Vec<(u64, Found)> {
    let run = |s: &Step| match s {
        Step::Run { call, found, .. } => Some((*call, *found)),
        _ => None,
    };
    steps.iter().filter_map(run).collect()
}

fn refusals(steps: &[Step]) -> Vec<(u64, Refusal)> {
    let refuse = |s: &Step| match s {
        Step::Refuse { call, why, .. } => Some((*call, *why)),
        _ => None,
    };
    steps.iter().filter_map(refuse).collect()
}

#[test]
fn calls_wait_for_a_load_take_lanes_and_queue() {
    let mut s = Stand::new(Spec { queue_most: 3, ..Spec::default() });
    let p = program(100, 2);
    assert_eq!(s.call(1, "f", &p, 0), [Step::Fetch { function: "f".into() }]);
    assert!(s.call(2, "f", &p, MS).is_empty());
    assert!(s.call(3, "f", &p, 2 * MS).is_empty());
    assert_eq!(refusals(&s.call(4, "f", &p, 3 * MS)), [(4, Refusal::QueueFull)]);
    assert_eq!(runs(&s.loaded("f", true, 100 * MS)), [(1, Found::Began), (2, Found::Waited)]);
    s.model.finished(1, 120 * MS, &mut s.steps);
    assert_eq!(runs(&s.steps), [(3, Found::Waited)]);
    s.steps.clear();
    s.model.finished(2, 121 * MS, &mut s.steps);
    assert_eq!(runs(&s.call(5, "f", &p, 122 * MS)), [(5, Found::Warm)]);
}

#[test]
fn the_idle_one_used_longest_ago_makes_room_and_one_at_work_never() {
    let mut s = Stand::new(Spec { memory: 250, ..Spec::default() });
    let p = program(100, 1);
    for (n, name) in ["a", "b"].iter().enumerate() {
        s.call(n as u64, name, &p, n as i64 * S);
        s.loaded(name, true, n as i64 * S + MS);
        s.model.finished(n as u64, n as i64 * S + 2 * MS, &mut s.steps);
        s.steps.clear();
    }
    s.call(9, "b", &p, 3 * S);
    s.call(10, "c", &p, 4 * S);
    assert_eq!(s.standing(), [("b", 1)]);
    s.loaded("c", true, 4 * S + MS);
    // Both in progress: no room for another.
    assert_eq!(refusals(&s.call(11, "d", &p, 5 * S)), [(11, Refusal::NoMemory)]);
    s.model.finished(9, 5 * S, &mut s.steps);
    s.model.finished(10, 5 * S, &mut s.steps);
    s.model.tick(15 * S - 1);
    assert_eq!(s.standing().len(), 2);
    s.model.tick(15 * S);
    assert!(s.standing().is_empty() && s.model.memory() == 0);
}

#[test]
fn a_miss_only_answers_where_told_so_and_orders_are_answered_once_they_stand() {
    let mut s = Stand::new(Spec { load_on_miss: false, ..Spec::default() });
    let p = program(100, 1);
    assert_eq!(refusals(&s.call(1, "f", &p, 0)), [(1, Refusal::NotLoaded)]);
    s.model.order(7, "f", &p, 2, 0, &mut s.steps);
    assert_eq!(std::mem::take(&mut s.steps).len(), 2);
    assert!(s.loaded("f", true, MS).is_empty());
    assert_eq!(s.loaded("f", true, 2 * MS), [Step::Answer { order: 7, copies: 2, full: false }]);
    s.model.order(8, "g", &p, 1, 3 * MS, &mut s.steps);
    s.steps.clear();
    assert_eq!(s.loaded("g", false, 4 * MS), [Step::Answer { order: 8, copies: 0, full: true }]);
    s.model.unload("f");
    assert!(s.standing().is_empty());
}

#[test]
fn a_draining_worker_takes_nothing_and_a_failed_load_refuses_what_waited() {
    let mut s = Stand::new(Spec::default());
    let p = program(100, 1);
    s.call(1, "f", &p, 0);
    s.model.set_draining(true);
    assert_eq!(refusals(&s.call(2, "f", &p, MS)), [(2, Refusal::Draining)]);
    assert_eq!(refusals(&s.loaded("f", false, 2 * MS)), [(1, Refusal::LoadFailed)]);
}

#[test]
fn a_cold_worker_falls_over_when_too_much_is_sent_and_a_warm_one_does_not() {
    let spec = Spec {
        cores: 1.0,
        queue_most: 1000,
        warm_up: 10 * S,
        start_share: 0.25,
        fall_multiple: 2.0,
        fall_window: S,
        ..Spec::default()
    };
    let p = program(100, 1000);
    let falls = |started: i64| {
        let mut model = Model::new(spec.clone(), started);
        let mut steps = Vec::new();
        (0..200).for_each(|n| model.arrive(n, "f", &p, n as i64 * MS, &mut steps));
        steps.contains(&Step::Fall)
    };
    assert!(falls(0) && !falls(-20 * S));
}
