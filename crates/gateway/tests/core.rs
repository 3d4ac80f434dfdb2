//! Calls and attempts between sockets and the decision module: each attempt gets one end, each call one answer, all in time.

use bytes::Bytes;
use stagehoist::{CopyReport, Micros, Outcome};
use stagehoist_config::{parse, Config};
use stagehoist_endpoints::ListedWorker;
use stagehoist_gateway::state::{
    Answer, Arrival, Attempt, AttemptResult, Command, Core, CoreSettings, FunctionProperties, Input,
};

const MS: Micros = 1000;

struct Harness {
    core: Core,
    config: Config,
    now: Micros,
}

impl Harness {
    fn new(more: &str) -> Harness {
        let text = format!(
            "class lookup aim 800ms give-up 2500ms\nclass record aim 800ms give-up 2500ms effect unsafe\n\
             function free-times class lookup memory 64MB lanes 4 load 200ms\n\
             function recurring class record memory 64MB lanes 4 load 200ms\n\
             broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n{more}"
        );
        let config = parse("core.conf", &text).unwrap();
        let now = 1_700_000_000_000_000;
        let mut harness = Harness { core: Core::new(CoreSettings::from(&config), 3, now), config, now };
        harness.list(&["w1", "w2", "w3"]);
        harness
    }
    fn turn(&mut self, after: Micros, mut inputs: Vec<Input>) -> Vec<Command> {
        self.now += after;
        let mut out = Vec::new();
        self.core.process(self.now, &mut inputs, &mut out);
        while self.core.due().is_some_and(|d| d <= self.now) {
            self.core.process(self.now, &mut Vec::new(), &mut out);
        }
        out
    }
    fn list(&mut self, names: &[&str]) -> Vec<Command> {
        let entries =
            names.iter().map(|n| ListedWorker { capacity: 4.0, ..ListedWorker::new(*n, format!("{n}:1")) });
        self.turn(0, vec![Input::EndpointList(entries.collect())])
    }
    fn call(&mut self, ticket: u64, function: &str) -> Vec<Command> {
        self.turn(
            MS,
            vec![Input::Call(Arrival {
                ticket,
                function: function.into(),
                properties: FunctionProperties::configured(&self.config, function).map(|f| f.0),
                tenant: 0,
                budget: 2500 * MS,
                read_at: 0,
                is_repeat: false,
                client_verified: true,
                body: Bytes::from_static(b"{}"),
                content_type: None,
                correlation: "c".into(),
                generation: None,
                identity: None,
            })],
        )
    }
}

fn attempts(commands: &[Command]) -> Vec<Attempt> {
    let attempt = |c: &Command| match c {
        Command::Attempt(a) => Some(a.clone()),
        _ => None,
    };
    commands.iter().filter_map(attempt).collect()
}

fn answers(commands: &[Command]) -> Vec<(u64, &'static str, &'static str)> {
    let answer = |c: &Command| match c {
        Command::Answer { ticket, answer: Answer::Served { .. }, .. } => Some((*ticket, "served", "")),
        Command::Answer { ticket, answer: Answer::Refused { reason, .. }, .. } => {
            Some((*ticket, "refused", *reason))
        }
        Command::Answer { ticket, answer: Answer::Failed { reason }, .. } => {
            Some((*ticket, "failed", *reason))
        }
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

fn ended(a: &Attempt, outcome: Outcome, draining: Option<bool>) -> Input {
    let copy_report = CopyReport { state: 1, concurrency: 0 };
    let result = AttemptResult { copy: copy_report, draining, ..AttemptResult::without_answer(outcome) };
    Input::AttemptEnded { request: a.request, attempt: a.attempt, result }
}

#[test]
fn a_call_is_sent_and_answered_once() {
    let mut harness = Harness::new("");
    let sent = attempts(&harness.call(1, "free-times"));
    assert_eq!((sent.len(), &*sent[0].function), (1, "free-times"));
    assert_eq!(
        answers(&harness.turn(30 * MS, vec![ended(&sent[0], Outcome::Ok, None)])),
        [(1, "served", "")]
    );
    // A repeated or late end is ignored.
    assert!(harness
        .turn(MS, vec![ended(&sent[0], Outcome::Ok, None)])
        .iter()
        .all(|c| !matches!(c, Command::Answer { .. })));
    assert_eq!((harness.core.unanswered(), harness.core.attempts_in_flight()), (0, 0));
}

#[test]
fn an_attempt_is_cut_at_its_calls_deadline_and_an_unsafe_call_fails() {
    let mut harness = Harness::new("");
    let sent = attempts(&harness.call(1, "recurring"));
    let mut all = Vec::new();
    for _ in 0..260 {
        all.extend(harness.turn(10 * MS, vec![]));
    }
    assert_eq!(answers(&all), [(1, "failed", "no-answer-in-time")]);
    let aborted =
        all.iter().filter(|c| matches!(c, Command::Abort { request, .. } if *request == sent[0].request));
    assert_eq!((aborted.count(), attempts(&all).len(), harness.core.attempts_in_flight()), (1, 0, 0));
}

#[test]
fn a_worker_that_announces_draining_gets_no_new_call_before_the_list_reports_it() {
    let mut harness = Harness::new("");
    let first = attempts(&harness.call(1, "free-times")).remove(0);
    harness.turn(20 * MS, vec![ended(&first, Outcome::Ok, Some(true))]);
    for ticket in 2..20 {
        let sent = attempts(&harness.call(ticket, "free-times"));
        assert!(sent.iter().all(|a| a.worker != first.worker), "sent to a draining worker");
        let ends = sent.iter().map(|a| ended(a, Outcome::Ok, Some(false))).collect();
        harness.turn(20 * MS, ends);
    }
}

#[test]
fn unknown_functions_and_calls_beyond_the_limit_are_refused_at_once() {
    let mut harness = Harness::new("held-most 2\n");
    assert_eq!(answers(&harness.call(1, "nobody")), [(1, "refused", "unknown-function")]);
    harness.list(&[]);
    harness.call(2, "free-times");
    harness.call(3, "free-times");
    assert_eq!(answers(&harness.call(4, "free-times")), [(4, "refused", "too-many-held")]);
    assert_eq!(harness.core.counters.rejected_at_intake, 2);
    let mut all = Vec::new();
    for _ in 0..260 {
        all.extend(harness.turn(10 * MS, vec![]));
    }
    assert_eq!(answers(&all), [(2, "refused", "no-workers"), (3, "refused", "no-workers")]);
}

#[test]
fn a_refused_connection_proves_that_a_call_did_not_run_and_a_reset_does_not() {
    let mut harness = Harness::new("");
    let first = attempts(&harness.call(1, "recurring")).remove(0);
    let again = attempts(&harness.turn(MS, vec![ended(&first, Outcome::ConnectFailed, None)]));
    assert_eq!((again.len(), again[0].attempt), (1, 1));
    assert_eq!(
        answers(&harness.turn(MS, vec![ended(&again[0], Outcome::Reset, None)])),
        [(1, "failed", "connection-broke")]
    );
}

#[test]
fn a_caller_that_left_gets_no_answer_and_its_attempt_still_ends() {
    let mut harness = Harness::new("");
    let sent = attempts(&harness.call(1, "free-times"));
    assert!(answers(&harness.turn(MS, vec![Input::ClientGone(1)])).is_empty());
    assert_eq!((harness.core.unanswered(), harness.core.attempts_in_flight()), (0, 1));
    assert!(answers(&harness.turn(MS, vec![ended(&sent[0], Outcome::Ok, None)])).is_empty());
    assert_eq!(harness.core.attempts_in_flight(), 0);
}

#[test]
fn a_lost_load_order_is_reported_once_and_its_late_result_ignored() {
    let mut harness = Harness::new("on-miss miss\nload-timeout 500ms\n");
    let first = attempts(&harness.call(1, "free-times")).remove(0);
    // The next worker in rank is tried once; the last attempt waits for the copy that is ordered.
    let second = attempts(&harness.turn(MS, vec![ended(&first, Outcome::Miss, None)])).remove(0);
    let out = harness.turn(MS, vec![ended(&second, Outcome::Miss, None)]);
    let order = out.iter().find_map(|c| match c {
        Command::Load { worker, function, .. } => Some((*worker, *function)),
        _ => None,
    });
    let (worker, function) = order.expect("a load after a miss");
    let sent = harness.now;
    let again: Vec<_> = harness.turn(600 * MS, vec![]);
    assert!(
        again.iter().any(|c| matches!(c, Command::Load { .. })),
        "the load is ordered again after the lost order"
    );
    let inputs = Input::Loaded { worker, function, sent, outcome: Outcome::Ok, copies: 1 };
    harness.turn(MS, vec![inputs]);
    assert_eq!(harness.core.unanswered(), 1 - answers(&again).len());
}

#[test]
fn the_late_result_of_a_lost_load_order_is_not_that_of_the_next() {
    use stagehoist::{Action, Event};
    use std::{cell::RefCell, rc::Rc};
    struct LoadingPolicy(Rc<RefCell<Vec<Outcome>>>);
    impl stagehoist_gateway::state::DecisionPolicy for LoadingPolicy {
        fn handle(&mut self, _: Micros, events: &[Event], out: &mut Vec<Action>) {
            for event in events {
                match event {
                    Event::Request(r) => {
                        out.push(Action::Load {
                            worker: 1,
                            function: r.function,
                            copies: 1,
                            start_by: Micros::MAX,
                        });
                    }
                    Event::Loaded { worker, function, outcome, .. } => {
                        self.0.borrow_mut().push(*outcome);
                        out.push(Action::Load {
                            worker: *worker,
                            function: *function,
                            copies: 1,
                            start_by: Micros::MAX,
                        });
                    }
                    _ => {}
                }
            }
        }
    }
    let ends = Rc::new(RefCell::new(Vec::new()));
    thread_local!(static ENDS: RefCell<Option<Rc<RefCell<Vec<Outcome>>>>> = const { RefCell::new(None) });
    ENDS.set(Some(ends.clone()));
    let mut harness = Harness::new("load-timeout 500ms\n");
    let policy = |_, _, _| {
        Box::new(LoadingPolicy(ENDS.take().unwrap())) as Box<dyn stagehoist_gateway::state::DecisionPolicy>
    };
    harness.core = Core::with(policy, CoreSettings::from(&harness.config), 3, harness.now);
    let order = |out: &[Command]| {
        out.iter().find_map(|c| match c {
            Command::Load { worker, function, .. } => Some((*worker, *function)),
            _ => None,
        })
    };
    let (worker, function) = order(&harness.call(1, "free-times")).unwrap();
    let first = harness.now;
    assert!(
        order(&harness.turn(500 * MS, vec![])).is_some(),
        "the order is lost, and ordered again in the same batch"
    );
    let second = harness.now;
    let end = |sent, outcome| Input::Loaded { worker, function, sent, outcome, copies: 0 };
    // The sockets report the timeout of the first order late.
    harness.turn(200 * MS, vec![end(first, Outcome::Timeout)]);
    assert_eq!(*ends.borrow(), [Outcome::Timeout], "the second order is still in flight");
    harness.turn(MS, vec![end(second, Outcome::Ok)]);
    assert_eq!(*ends.borrow(), [Outcome::Timeout, Outcome::Ok]);
}

#[test]
fn at_most_the_configured_number_of_workers_is_known() {
    assert_eq!(Harness::new("workers-most 2\n").core.ready_workers(), 2);
    assert_eq!(Harness::new("").core.ready_workers(), 3);
}
