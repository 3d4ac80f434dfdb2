//! The way back after a loss of everything, without sockets: who waits, who goes in, and that all are answered in time.

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
/// Tenants by their places; calls that name none are the first's.
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
    /// Without word of the replicas; `unordered`: the last run fell; None: no stages are told.
    fn new(unordered: Option<bool>) -> Front {
        let config = Rc::new(config("recover share 0.01"));
        let mut core = Core::new(CoreSettings::from(&*config), 3, START);
        core.join_fleet(EgressCheck::new(RetirementGate::new(config.clone()), || START));
        if let Some(unordered) = unordered {
            let told = config.fleet.as_ref().unwrap().recover.unwrap();
            core.set_recovery(FleetRecovery::new(&config, &told, unordered, 3, START));
        }
        Front { core, config, now: START, next: 0 }
    }

    /// After a loss, with workers just started and the replicas' word here.
    fn lost() -> Front {
        let mut front = Front::new(Some(true));
        front.fresh(ClusterState::default());
        front.list(START - S);
        assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Ramping));
        front
    }

    fn turn(&mut self, after: Micros, mut news: Vec<Input>) -> Vec<Command> {
        let until = self.now + after;
        let mut out = Vec::new();
        // What is due before then is done at its time.
        while let Some(due) = self.core.due().filter(|due| *due < until) {
            self.now = self.now.max(due);
            self.core.process(self.now, &mut Vec::new(), &mut out);
        }
        self.now = until;
        self.core.process(self.now, &mut news, &mut out);
        out
    }

    fn list(&mut self, started: Micros) -> Vec<Command> {
        let entry =
            |n: &str| ListedWorker { capacity: 4.0, started, ..ListedWorker::new(n, format!("{n}:1")) };
        self.turn(0, vec![Input::EndpointList(["w1", "w2", "w3"].map(entry).into())])
    }

    fn fresh(&mut self, record: ClusterState) -> Vec<Command> {
        let view = Arc::new(record.view);
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

    /// As many calls of nobody with a reservation as wait at once.
    fn waiting(&mut self) -> u64 {
        let before = self.next;
        while self.next < before + 20 {
            assert!(answers(&self.call(OTHER, "rare")).is_empty());
        }
        self.core.unanswered() as u64
    }
}

#[test]
fn a_single_front_end_that_fell_holds_nobody_up_in_a_warm_fleet() {
    for heard in [true, false] {
        let mut front = Front::new(Some(true));
        if heard {
            front.fresh(ClusterState::default());
        }
        front.list(OLD);
        assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Serving));
        for tenant in [0, 1] {
            assert_eq!(attempts(&front.call(tenant, "free")).len(), 1);
        }
    }
    // One old worker among new ones is a fleet that still stands, also where it is listed later.
    let mut front = Front::lost();
    front.list(OLD);
    assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::Serving));
}

#[test]
fn without_stages_after_an_orderly_end_and_in_a_warm_fleet_the_same_is_done() {
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
    let off = script(Front::new(None), START);
    assert!(off.1 > 5);
    assert_eq!(script(Front::new(Some(false)), START).0, off.0);
    assert_eq!(script(Front::new(Some(true)), OLD).0, script(Front::new(None), OLD).0);
    // After a loss it is not the same.
    assert_ne!(script(Front::new(Some(true)), START).0, off.0);
}

#[test]
fn after_a_loss_reservations_go_in_and_others_wait_and_are_answered_in_time() {
    let mut front = Front::lost();
    // Cold workers are sent little or nothing at once, but the call is in the module's hands.
    front.call(CLINIC, "free");
    let taken = front.core.counters.taken;
    assert_eq!(taken, 1);
    // Of another function than the pool's, the same tenant has no reservation.
    front.call(CLINIC, "rare");
    front.waiting();
    let waiting = front.core.unanswered() as u64;
    assert!(front.core.counters.taken < 6, "{:?}", front.core.counters);
    let mut told = Vec::new();
    let begin = front.now;
    while front.core.unanswered() > 0 && front.now < begin + 10 * S {
        told.extend(answers(&front.turn(10 * MS, Vec::new())));
    }
    assert!(front.now <= begin + 2500 * MS, "answered after {} ms", (front.now - begin) / MS);
    assert_eq!(told.len() as u64, waiting);
    assert!(told.iter().filter(|a| a.2 == "fleet-starting").count() > 5, "{told:?}");
}

#[test]
fn warm_answers_open_it_before_any_limit() {
    let mut front = Front::lost();
    let mut served = 0;
    for step in 0..100 {
        if front.core.recovery_phase() == Some(RecoveryPhase::Serving) {
            assert!(step > 10 && served > 50, "{step} {served}");
            return;
        }
        for _ in 0..5 {
            let mut out = front.call(CLINIC, "free");
            out.extend(front.turn(20 * MS, Vec::new()));
            let news: Vec<Input> = attempts(&out).iter().map(|a| ended(a, Outcome::Ok)).collect();
            served += news.len();
            front.turn(20 * MS, news);
        }
    }
    panic!("not open after 20 s with {served} served");
}

#[test]
fn who_waits_may_leave_and_is_told_of_a_tombstone() {
    let mut front = Front::lost();
    let waiting = front.waiting();
    let taken = front.core.counters.taken;
    let gone: Vec<Input> = (1..=front.next / 2).map(Input::ClientGone).collect();
    let left = gone.len() as u64;
    assert!(answers(&front.turn(MS, gone)).is_empty());
    assert_eq!(front.core.unanswered() as u64, waiting - left);
    let mut record = ClusterState::default();
    record.apply(1, &retire("rare", 1));
    record.apply(2, &in_force("rare", 1));
    let told = answers(&front.fresh(record));
    assert_eq!((told.len() as u64, front.core.unanswered()), (waiting - left, 0));
    assert!(told.iter().all(|a| a.2 == "retired") && taken < 5, "{told:?}");
    assert_eq!(front.core.session_report().unwrap().confirmed, 2);
}

#[test]
fn a_lone_survivor_without_workers_or_keepers_is_open_after_the_limits() {
    let mut front = Front::new(Some(true));
    front.turn(0, vec![Input::EndpointList(Vec::new())]);
    assert_eq!(front.core.recovery_phase(), Some(RecoveryPhase::ResolvingInDoubt));
    let mut stages = Vec::new();
    for tenth in 1..600 {
        front.turn(100 * MS, Vec::new());
        if stages.last() != Some(&front.core.recovery_phase()) {
            stages.push(front.core.recovery_phase());
            if stages.len() == 3 {
                assert!((400..=440).contains(&tenth), "open after {tenth} tenths of a second");
            }
        }
    }
    assert_eq!(
        stages,
        [RecoveryPhase::ResolvingInDoubt, RecoveryPhase::Ramping, RecoveryPhase::Serving].map(Some)
    );
}

#[test]
fn a_run_that_does_not_end_in_order_is_known_by_the_next() {
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
