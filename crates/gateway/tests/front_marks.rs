//! Messages redelivered after a restart wait for the answers of the members that may have received them before. Then
//! they run, or fail as they do without intents. Also checks that attempts are sent only once their intent is on
//! disk.

mod world;

use stagehoist::Outcome;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::intent_recorder::IntentRecorder;
use stagehoist_gateway::state::{Attempt, Input};
use stagehoist_gateway::workers::Workers;
use stagehoist_intent_log::{start, IntentLog, LogEvent, LogLocation, Options};
use stagehoist_recovery::inquiry::{AttemptKnowledge, InquiryLimits};
use stagehoist_recovery::intent_gate::Limits;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use world::*;

/// Returns a front after a restart, with a redelivered message that the previous process had received, and the
/// members that it asks: itself and one other.
fn restarted() -> (World, Vec<Rc<str>>) {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p.with_expiration(short("900")));
    w.arrivals();
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    let members: Vec<Rc<str>> = vec!["".into(), "other".into()];
    w.front.set_inquiry(members.clone(), InquiryLimits::default());
    w.connect();
    assert!(w.arrivals().is_empty() && w.outcomes().is_empty(), "the message has to wait");
    (w, members)
}

#[test]
fn a_message_that_no_member_sent_runs_within_its_remaining_budget() {
    let (mut w, members) = restarted();
    let questions = w.front.take_questions();
    assert_eq!(questions.iter().map(|q| q.2.clone()).collect::<Vec<_>>(), members);
    let ticket = questions[0].0;
    w.now += 50_000;
    w.front.on_inquiry_answer(ticket, &members[0], Some(AttemptKnowledge::None), w.now);
    assert!(w.arrivals().is_empty(), "only one of two members has answered");
    w.front.on_inquiry_answer(ticket, &members[1], Some(AttemptKnowledge::None), w.now);
    let calls = w.arrivals();
    assert_eq!((calls.len(), calls[0].identity), (1, Some(questions[0].1)));
    assert!(calls[0].is_repeat && (700_000..=830_000).contains(&calls[0].budget), "{}", calls[0].budget);
    w.serve(&calls[0]);
    w.settle();
    assert_eq!(w.outcomes(), [("a", "served")]);
    assert_eq!(
        (w.front.counters.inquired, w.front.counters.run_by_intents, w.front.unacknowledged()),
        (1, 1, 0)
    );
}

#[test]
fn an_intent_an_unknown_state_or_no_answer_fails_the_message_in_time() {
    for answer in
        [Some(Some(AttemptKnowledge::MayHaveRun)), Some(Some(AttemptKnowledge::NotKnown)), Some(None), None]
    {
        let (mut w, members) = restarted();
        let ticket = w.front.take_questions()[0].0;
        w.front.on_inquiry_answer(ticket, &members[0], Some(AttemptKnowledge::None), w.now);
        match answer {
            Some(answer) => w.front.on_inquiry_answer(ticket, &members[1], answer, w.now),
            None => {
                let started_at = w.now;
                while w.front.counters.failed_unknown == 0 {
                    w.now = w.now.max(w.front.due().unwrap());
                    w.front.tick(w.now);
                    w.settle();
                }
                assert!(w.now - started_at < 450_000, "must fail well before the caller's timeout");
            }
        }
        w.settle();
        assert!(w.arrivals().is_empty());
        assert_eq!(w.outcomes(), [("a", "failed")], "{answer:?}");
        w.front.on_inquiry_answer(ticket, &members[1], Some(AttemptKnowledge::None), w.now);
        assert!(w.arrivals().is_empty(), "an answer after the failure must have no effect");
    }
}

fn attempt(request: u32, function: &str, class: u16, address: &str) -> Attempt {
    Attempt {
        request,
        attempt: 0,
        worker: 1,
        address: address.into(),
        class,
        function: function.into(),
        deadline: i64::MAX / 2,
        body: Bytes::from_static(b"{}"),
        content_type: None,
        correlation: format!("c{request}").into(),
        ticket: u64::from(request),
        start_by: i64::MAX,
        connected_by: i64::MAX,
        intent: Some((u128::from(request), u64::from(request))),
    }
}

/// Runs a test with an intent recorder, its intent log and a worker that accepts calls and never answers.
fn with_recorder<F: std::future::Future<Output = ()>>(
    is_standalone: bool,
    run: impl FnOnce(IntentRecorder, IntentLog, mpsc::Receiver<Input>, TcpListener) -> F,
) {
    let folder = tempfile::tempdir().unwrap();
    let location = LogLocation { folder: folder.path().into(), name: "f".into(), standalone: is_standalone };
    let (log, thread) = start(&location, Options::default()).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inputs, received) = mpsc::channel(16);
        let (config, clock) = (config(""), Clock::new());
        let workers = Rc::new(Workers::new(config.clone(), clock, inputs.clone(), None));
        let limits = Limits { max_wait: 60_000_000, ..Limits::default() };
        let (recorder, task) = IntentRecorder::start(config, clock, log.clone(), workers, inputs, limits);
        run(recorder, log, received, TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
        task.await.unwrap();
    });
    thread.join().unwrap();
}

#[test]
fn an_attempt_is_sent_once_its_intent_is_on_disk_unless_aborted() {
    with_recorder(true, |mut recorder, log, _received, worker| async move {
        let address = worker.local_addr().unwrap().to_string();
        assert!(
            recorder.attempt(attempt(1, "free-times", 0, &address)).is_some(),
            "idempotent, needs no intent"
        );
        let unnamed = Attempt { intent: None, ..attempt(2, "recurring", 1, &address) };
        assert!(recorder.attempt(unnamed).is_some(), "has no identity to record");
        assert!(recorder.attempt(attempt(3, "recurring", 1, &address)).is_none());
        recorder.abort(3, 0);
        assert!(recorder.attempt(attempt(4, "recurring", 1, &address)).is_none());
        let (mut socket, _) = worker.accept().await.unwrap();
        let mut bytes = vec![0; 1000];
        let n = socket.read(&mut bytes).await.unwrap();
        let text = String::from_utf8_lossy(&bytes[..n]).to_string();
        assert!(text.contains("c4"), "the aborted attempt was sent: {text}");
        let (reply, mut replies) = mpsc::unbounded_channel();
        assert!(log.query(9, 4, &reply));
        assert_eq!(replies.recv().await, Some(LogEvent::Answered(9, AttemptKnowledge::MayHaveRun)));
    });
}

#[test]
fn an_attempt_whose_intent_is_not_recorded_is_superseded() {
    with_recorder(false, |mut recorder, _log, mut received, worker| async move {
        let address = worker.local_addr().unwrap().to_string();
        assert!(recorder.attempt(attempt(1, "recurring", 1, &address)).is_none());
        let Some(Input::AttemptEnded { request: 1, attempt: 0, result }) = received.recv().await else {
            panic!()
        };
        assert_eq!(result.outcome, Outcome::Superseded);
    });
}
