//! Outcomes caused by a lack of descriptors in this process; they must not count against the executor.

use crate::stage::{accept, anywhere, at_the_limit, listen, read_until, Stage};
use stagehoist::{Action, Endpoint, EndpointUpdate, Event, FrontEnd, Lifecycle, Micros, Outcome};
use stagehoist_gateway::state::Input;
use stagehoist_platform::executors::LoadCommand;
use stagehoist_platform::PlatformSettings;

/// Returns how an attempt, a health check and a load order at this executor end.
async fn ends(stage: &mut Stage, worker: u32) -> [Outcome; 3] {
    stage.send(worker, 9);
    stage.executors.check_health(worker);
    stage.executors.flush_all();
    stage.executors.load(LoadCommand {
        worker,
        function: 7,
        name: "7f3a9c21e0b4d655",
        copies: 1,
        start_by: Micros::MAX,
    });
    stage.executors.flush_all();
    let mut ends = [Outcome::Ok; 3];
    for _ in 0..3 {
        match stage.next().await {
            Input::AttemptEnded { request: 9, result, .. } => ends[0] = result.outcome,
            Input::HealthChecked { worker: of, outcome, .. } if of == worker => ends[1] = outcome,
            Input::Loaded { worker: of, outcome, copies: 0, .. } if of == worker => ends[2] = outcome,
            other => panic!("{other:?}"),
        }
    }
    ends
}

/// A load order that was never sent is reported as such: it does not count against the executor, and the copies there
/// stay known.
const LOCAL_OUTCOMES: [Outcome; 3] = [Outcome::Full, Outcome::Full, Outcome::Superseded];

#[test]
fn a_lack_of_free_connections_does_not_count_against_an_executor() {
    at_the_limit(|mut full| async move {
        let mut stage = Stage::new(1).await;
        let (listener, address) = listen(anywhere());
        stage.at(&[1, 2], address);
        stage.send(1, 1);
        stage.until(|| stage.executors.counters.get().connected == 1).await;
        full.fill();
        let peer = accept(&stage, &mut full, &listener).await;
        read_until(&stage, &peer, "RUN 0000000000000001").await;
        assert_eq!(ends(&mut stage, 2).await, LOCAL_OUTCOMES);
    });
}

#[test]
fn a_lack_of_descriptors_does_not_count_against_an_executor() {
    at_the_limit(|mut full| async move {
        let mut stage = Stage::new(8).await;
        let (_listener, address) = listen(anywhere());
        stage.at(&[1], address);
        full.fill();
        assert_eq!(ends(&mut stage, 1).await, LOCAL_OUTCOMES);
        // An executor that is not listed is gone, and one that refuses connections is down: both are reported.
        assert_eq!(ends(&mut stage, 2).await, [Outcome::ConnectFailed; 3]);
        drop(full);
        drop(_listener);
        assert_eq!(ends(&mut stage, 1).await, [Outcome::ConnectFailed; 3]);
    });
}

/// The module's part: which outcomes of a health check eject the executor.
#[test]
fn a_health_check_that_failed_locally_ejects_no_executor() {
    let ejected = |outcome: Outcome| {
        let settings = PlatformSettings::parse(include_str!("../config.json")).unwrap().settings;
        let mut module = FrontEnd::new(settings, 3, 0);
        let row = Endpoint {
            worker: 1,
            kind: 0,
            lifecycle: Lifecycle::Ready,
            zone: 0,
            started: 0,
            cell: 0,
            capacity: 4.0,
        };
        let events = [
            Event::Endpoints { update: EndpointUpdate::Full, endpoints: [row].into() },
            Event::HealthChecked { worker: 1, outcome, elapsed: 0, report: None },
        ];
        let mut out = Vec::new();
        module.handle(1000, &events, &mut out);
        out.iter().any(|a| matches!(a, Action::Log { text } if text.starts_with("eject worker 1")))
    };
    assert!(!ejected(Outcome::Full));
    assert!(ejected(Outcome::ConnectFailed), "a refused connection did not eject the executor");
}
