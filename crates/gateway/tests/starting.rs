//! Recovery after a loss of the whole fleet, without sockets: which calls wait, which are admitted, and that all are
//! answered in time.

mod common;

use bytes::Bytes;
use common::{answers, attempts, ended, in_force, retire, MS};
use stagehoist::{Micros, Outcome};
use stagehoist_cluster_state::{ClusterState, ClusterStatus};
use stagehoist_config::{parse, Config};
use stagehoist_endpoints::ListedWorker;
use stagehoist_gateway::fleet::{EgressCheck, FleetRecovery, RetirementGate, ShutdownMarker};
use stagehoist_gateway::state::{Arrival, Command, Core, CoreSettings, FunctionProperties, Input};
use stagehoist_recovery::phases::RecoveryPhase;
use std::rc::Rc;
use std::sync::Arc;

const S: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * S;
const OLD: Micros = START - 3600 * S;
/// Tenants by their index; calls without a tenant belong to the first.
const OTHER: u32 = 0;
const CLINIC: u32 = 1;

struct Front {
    core: Core,
    config: Rc<Config>,
    now: Micros,
    next: u64,
}

fn config(recover: &str) -> Config {
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction free class lookup memory 64MB lanes 4 load 200ms\n\
         function rare class lookup memory 64MB lanes 4 load 200ms\ntenant other quota 1000/s\n\
         tenant clinic quota 1000/s\nfleet-front-ends 2\nbroker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n\
         member a\nkeeper 1 127.0.0.1:1\nfleet-folder of-a\npool p functions fr* lanes 10\n\
         reserve clinic pool p lanes 4\n{recover}\n"
    );
    parse("s.conf", &text).unwrap()
}

impl Front {
    /// Creates a front end without a cluster status. `is_unclean`: the last run ended uncleanly; None: no recovery phases.
    fn new(is_unclean: Option<bool>) -> Front {
        let config = Rc::new(config("recover share 0.01"));
        let mut core = Core::new(CoreSettings::from(&*config), 3, START);
        core.join_fleet(EgressCheck::new(RetirementGate::new(config.clone()), || START));
        if let Some(is_unclean) = is_unclean {
            let recover = config.fleet.as_ref().unwrap().recover.unwrap();
            core.set_recovery(FleetRecovery::new(&config, &recover, is_unclean, 3, START));
        }
        Front { core, config, now: START, next: 0 }
    }

    /// Creates a front end after a loss, with newly started workers and a cluster status.
    fn after_loss() -> Front {
        let mut front = Front::new(Some(true));
        front.set_cluster_state(ClusterState::default());
        front.list(START - S);
        assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Ramping));
        front
    }

    fn turn(&mut self, after: Micros, mut inputs: Vec<Input>) -> Vec<Command> {
        let until = self.now + after;
        let mut out = Vec::new();
        // Timers due before then are processed at their time.
        while let Some(due) = self.core.due().filter(|due| *due < until) {
            self.now = self.now.max(due);
            self.core.process(self.now, &mut Vec::new(), &mut out);
        }
        self.now = until;
        self.core.process(self.now, &mut inputs, &mut out);
        out
    }

    fn list(&mut self, started: Micros) -> Vec<Command> {
        let entry =
            |n: &str| ListedWorker { capacity: 4.0, started, ..ListedWorker::new(n, format!("{n}:1")) };
        self.turn(0, vec![Input::EndpointList(["w1", "w2", "w3"].map(entry).into())])
    }

    fn set_cluster_state(&mut self, state: ClusterState) -> Vec<Command> {
        let view = Arc::new(state.view);
        self.turn(
            0,
            vec![Input::ClusterStatus(ClusterStatus {
                view,
                fresh_until: START + 600 * S,
                ..ClusterStatus::default()
            })],
        )
    }

    fn call(&mut self, tenant: u32, function: &str) -> Vec<Command> {
        self.next += 1;
        let arrival = Arrival {
            ticket: self.next,
            function: function.into(),
            properties: FunctionProperties::configured(&self.config, function).map(|f| f.0),
            tenant,
            budget: 2500 * MS,
            read_at: 0,
            is_repeat: false,
            client_verified: true,
            body: Bytes::from_static(b"{}"),
            content_type: None,
            correlation: "c".into(),
            generation: None,
            identity: None,
        };
        self.turn(0, vec![Input::Call(arrival)])
    }

    /// Sends calls of a tenant without a reservation, and returns how many are unanswered.
    fn fill_waiting(&mut self) -> u64 {
        let before = self.next;
        while self.next < before + 20 {
            assert!(answers(&self.call(OTHER, "rare")).is_empty());
        }
        self.core.unanswered() as u64
    }
}

#[test]
fn a_single_front_end_that_crashed_delays_no_calls_in_a_warm_fleet() {
    for has_status in [true, false] {
        let mut front = Front::new(Some(true));
        if has_status {
            front.set_cluster_state(ClusterState::default());
        }
        front.list(OLD);
        assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Serving));
        for tenant in [0, 1] {
            assert_eq!(attempts(&front.call(tenant, "free")).len(), 1);
        }
    }
    // One old worker among new ones shows that the fleet was not lost, even if it is listed later.
    let mut front = Front::after_loss();
    front.list(OLD);
    assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Serving));
}

#[test]
fn no_phases_a_clean_shutdown_and_a_warm_fleet_give_the_same_result() {
    let script = |mut front: Front, started: Micros| {
        let mut all = front.list(started);
        for n in 0..40 {
            all.extend(front.call(n % 2, if n % 3 == 0 { "free" } else { "rare" }));
            let ends = attempts(&all).into_iter().skip(n as usize / 2).take(1);
            let ends = ends.map(|a| ended(&a, Outcome::Ok)).collect();
            all.extend(front.turn(7 * MS, ends));
        }
        all.extend(front.turn(5 * S, Vec::new()));
        (format!("{all:?}"), front.core.counters.served)
    };
    let without_phases = script(Front::new(None), START);
    assert!(without_phases.1 > 5);
    assert_eq!(script(Front::new(Some(false)), START).0, without_phases.0);
    assert_eq!(script(Front::new(Some(true)), OLD).0, script(Front::new(None), OLD).0);
    // After a loss the result differs.
    assert_ne!(script(Front::new(Some(true)), START).0, without_phases.0);
}

#[test]
fn after_a_loss_reserved_calls_are_admitted_and_others_wait_and_are_answered_in_time() {
    let mut front = Front::after_loss();
    // Cold workers get few or no attempts at once, but the call was passed to the decision module.
    front.call(CLINIC, "free");
    let taken = front.core.counters.taken;
    assert_eq!(taken, 1);
    // The same tenant has no reservation for a function outside the pool.
    front.call(CLINIC, "rare");
    front.fill_waiting();
    let waiting = front.core.unanswered() as u64;
    assert!(front.core.counters.taken < 6, "{:?}", front.core.counters);
    let mut answered = Vec::new();
    let begin = front.now;
    while front.core.unanswered() > 0 && front.now < begin + 10 * S {
        answered.extend(answers(&front.turn(10 * MS, Vec::new())));
    }
    assert!(front.now <= begin + 2500 * MS, "answered after {} ms", (front.now - begin) / MS);
    assert_eq!(answered.len() as u64, waiting);
    assert!(answered.iter().filter(|a| a.2 == "fleet-starting").count() > 5, "{answered:?}");
}

#[test]
fn warm_answers_end_recovery_before_any_limit() {
    let mut front = Front::after_loss();
    let mut served = 0;
    for step in 0..100 {
        if front.core.recovery_phase() == Some(RecoveryPhase::Serving) {
            assert!(step > 10 && served > 50, "{step} {served}");
            return;
        }
        for _ in 0..5 {
            let mut out = front.call(CLINIC, "free");
            out.extend(front.turn(20 * MS, Vec::new()));
            let inputs: Vec<Input> = attempts(&out).iter().map(|a| ended(a, Outcome::Ok)).collect();
            served += inputs.len();
            front.turn(20 * MS, inputs);
        }
    }
    panic!("recovery not over after 20 s with {served} served");
}

#[test]
fn waiting_callers_may_leave_and_waiting_calls_are_rejected_by_a_tombstone() {
    let mut front = Front::after_loss();
    let waiting = front.fill_waiting();
    let taken = front.core.counters.taken;
    let gone: Vec<Input> = (1..=front.next / 2).map(Input::ClientGone).collect();
    let left = gone.len() as u64;
    assert!(answers(&front.turn(MS, gone)).is_empty());
    assert_eq!(front.core.unanswered() as u64, waiting - left);
    let mut record = ClusterState::default();
    record.apply(1, &retire("rare", 1));
    record.apply(2, &in_force("rare", 1));
    let answered = answers(&front.set_cluster_state(record));
    assert_eq!((answered.len() as u64, front.core.unanswered()), (waiting - left, 0));
    assert!(answered.iter().all(|a| a.2 == "retired") && taken < 5, "{answered:?}");
    assert_eq!(front.core.session_report().unwrap().confirmed, 2);
}

#[test]
fn a_single_front_end_without_workers_or_replicas_ends_recovery_after_the_limits() {
    let mut front = Front::new(Some(true));
    front.turn(0, vec![Input::EndpointList(Vec::new())]);
    assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::ResolvingInDoubt));
    let mut phases = Vec::new();
    for tenth in 1..600 {
        front.turn(100 * MS, Vec::new());
        if phases.last() != Some(&front.core.recovery_phase()) {
            phases.push(front.core.recovery_phase());
            if phases.len() == 3 {
                assert!((400..=440).contains(&tenth), "recovery over after {tenth} tenths of a second");
            }
        }
    }
    assert_eq!(
        phases,
        [RecoveryPhase::ResolvingInDoubt, RecoveryPhase::Ramping, RecoveryPhase::Serving].map(Some)
    );
}

#[test]
fn an_unclean_shutdown_is_detected_by_the_next_run() {
    let folder = tempfile::tempdir().unwrap();
    let mut config = config("recover");
    config.fleet.as_mut().unwrap().folder = Some(folder.path().join("of").display().to_string());
    let begin = || ShutdownMarker::begin(&config, 0).unwrap();
    let first = begin();
    assert!(!first.is_unclean());
    first.remove();
    let second = begin();
    assert!(!second.is_unclean());
    drop(second);
    assert!(begin().is_unclean() && !ShutdownMarker::begin(&config, 1).unwrap().is_unclean());
    config.fleet.as_mut().unwrap().recover = None;
    assert!(ShutdownMarker::begin(&config, 0).is_none());
}
