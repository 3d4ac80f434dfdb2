//! Messages delivered again after a restart: they wait for the word of whoever may have held them, and run, or fail as
//! without intents. And attempts, which leave only once their intent is on disk.

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

/// A message that the process before had taken, and the new process's front, which asks itself and one other.
fn restarted() -> (World, Vec<Rc<str>>) {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p.with_expiration(short("900")));
    w.arrivals();
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    let members: Vec<Rc<str>> = vec!["".into(), "other".into()];
    w.front.set_inquiry(members.clone(), InquiryLimits::default());
    w.connect();
    assert!(w.arrivals().is_empty() && w.outcomes().is_empty(), "it waits");
    (w, members)
}

#[test]
fn a_message_that_no_member_sent_runs_in_what_is_left_of_its_time() {
    let (mut w, members) = restarted();
    let questions = w.front.take_questions();
    assert_eq!(questions.iter().map(|q| q.2.clone()).collect::<Vec<_>>(), members);
    let ticket = questions[0].0;
    w.now += 50_000;
    w.front.on_inquiry_answer(ticket, &members[0], Some(AttemptKnowledge::None), w.now);
    assert!(w.arrivals().is_empty(), "one word of two");
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
fn a_mark_doubt_and_silence_fail_it_in_time() {
    for told in
        [Some(Some(AttemptKnowledge::MayHaveRun)), Some(Some(AttemptKnowledge::NotKnown)), Some(None), None]
    {
        let (mut w, members) = restarted();
        let ticket = w.front.take_questions()[0].0;
        w.front.on_inquiry_answer(ticket, &members[0], Some(AttemptKnowledge::None), w.now);
        match told {
            Some(told) => w.front.on_inquiry_answer(ticket, &members[1], told, w.now),
            None => {
                let from = w.now;
                while w.front.counters.failed_unknown == 0 {
                    w.now = w.now.max(w.front.due().unwrap());
                    w.front.tick(w.now);
                    w.settle();
                }
                assert!(w.now - from < 450_000, "well inside the caller's time");
            }
        }
        w.settle();
        assert!(w.arrivals().is_empty());
        assert_eq!(w.outcomes(), [("a", "failed")], "{told:?}");
        w.front.on_inquiry_answer(ticket, &members[1], Some(AttemptKnowledge::None), w.now);
        assert!(w.arrivals().is_empty(), "a word after the answer");
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
        intent: Some((u128::from(request), u64::from(request))),
    }
}

/// Plays with a marker, its store and a worker that takes calls and never answers.
fn with_marker<F: std::future::Future<Output = ()>>(
    begun: bool,
    play: impl FnOnce(IntentRecorder, IntentLog, mpsc::Receiver<Input>, TcpListener) -> F,
) {
    let folder = tempfile::tempdir().unwrap();
    let place = LogLocation { folder: folder.path().into(), name: "f".into(), standalone: begun };
    let (marks, thread) = start(&place, Options::default()).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (news, heard) = mpsc::channel(16);
        let (config, clock) = (config(""), Clock::new());
        let workers = Rc::new(Workers::new(config.clone(), clock, news.clone(), None));
        let limits = Limits { max_wait: 60_000_000, ..Limits::default() };
        let (marker, task) = IntentRecorder::start(config, clock, marks.clone(), workers, news, limits);
        play(marker, marks, heard, TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
        task.await.unwrap();
    });
    thread.join().unwrap();
}

#[test]
fn an_attempt_leaves_once_its_mark_is_on_disk_and_not_if_taken_back() {
    with_marker(true, |mut marker, marks, _heard, worker| async move {
        let address = worker.local_addr().unwrap().to_string();
        assert!(marker.attempt(attempt(1, "free-times", 0, &address)).is_some(), "safe to repeat");
        let unnamed = Attempt { intent: None, ..attempt(2, "recurring", 1, &address) };
        assert!(marker.attempt(unnamed).is_some(), "nothing to mark it by");
        assert!(marker.attempt(attempt(3, "recurring", 1, &address)).is_none());
        marker.abort(3, 0);
        assert!(marker.attempt(attempt(4, "recurring", 1, &address)).is_none());
        let (mut socket, _) = worker.accept().await.unwrap();
        let mut bytes = vec![0; 1000];
        let n = socket.read(&mut bytes).await.unwrap();
        let text = String::from_utf8_lossy(&bytes[..n]).to_string();
        assert!(text.contains("c4"), "the one that was taken back left: {text}");
        let (reply, mut done) = mpsc::unbounded_channel();
        assert!(marks.query(9, 4, &reply));
        assert_eq!(done.recv().await, Some(LogEvent::Answered(9, AttemptKnowledge::MayHaveRun)));
    });
}

#[test]
fn an_attempt_without_a_mark_is_not_sent_and_said_so() {
    with_marker(false, |mut marker, _marks, mut heard, worker| async move {
        let address = worker.local_addr().unwrap().to_string();
        assert!(marker.attempt(attempt(1, "recurring", 1, &address)).is_none());
        let Some(Input::AttemptEnded { request: 1, attempt: 0, result }) = heard.recv().await else {
            panic!()
        };
        assert_eq!(result.outcome, Outcome::Superseded);
    });
}
