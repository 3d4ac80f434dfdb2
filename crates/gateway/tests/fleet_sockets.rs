//! A connection has to be opened between a decision and its write. Checks that nothing is written for a function that
//! was retired, or whose retirement became uncertain, in the meantime.

mod common;

use bytes::Bytes;
use common::*;
use stagehoist::Outcome;
use stagehoist_cluster_state::{ClusterState, ClusterStatus};
use stagehoist_config::parse;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::fleet::{EgressCheck, RetirementGate};
use stagehoist_gateway::state::{Attempt, Input};
use stagehoist_gateway::workers::Workers;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Returns the outcomes of an attempt and of a load order, and the number of bytes that the worker received.
/// `retires` is the function retired and `at` the time once the decisions are made.
async fn sent(function: &str, retires: Option<&str>, at: i64) -> (Outcome, Outcome, usize) {
    let text = "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\n\
                function strict class lookup memory 64MB retire strict\nbroker amqp://127.0.0.1:1/\nconsume calls\n\
                worker-list file none\nmember a\nkeeper 1 127.0.0.1:1\n";
    let config = Rc::new(parse("s.conf", text).unwrap());
    let now = Rc::new(Cell::new(0));
    let mut gate = RetirementGate::new(config.clone());
    gate.update(ClusterStatus { fresh_until: 100, ..ClusterStatus::default() });
    let clock = now.clone();
    let check = EgressCheck::new(gate, move || clock.get());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: Rc<str> = listener.local_addr().unwrap().to_string().into();
    let (inputs, mut received) = mpsc::channel(8);
    let workers = Workers::new(config, Clock::new(), inputs, Some(check.clone()));
    workers.attempt(Attempt {
        request: 1,
        attempt: 0,
        worker: 1,
        address: address.clone(),
        class: 0,
        function: function.into(),
        deadline: 0,
        body: Bytes::from_static(b"{}"),
        content_type: None,
        correlation: "c".into(),
        ticket: 1,
        start_by: i64::MAX,
        connected_by: i64::MAX,
        intent: None,
    });
    workers.load((1, address), (7, function), 1);
    // The decisions are made, and their connections are not open yet.
    now.set(at);
    let mut state = ClusterState::default();
    retires.iter().for_each(|f| drop(state.apply(1, &retire(f, 1))));
    check.gate_mut().update(ClusterStatus {
        view: Arc::new(state.view),
        fresh_until: 100,
        ..ClusterStatus::default()
    });
    let (mut attempt_outcome, mut load_outcome, mut bytes) = (None, None, 0);
    let mut streams = Vec::new();
    while attempt_outcome.is_none() || load_outcome.is_none() {
        tokio::select! {
            item = received.recv() => match item.unwrap() {
                Input::AttemptEnded { result, .. } => attempt_outcome = Some(result.outcome),
                Input::Loaded { outcome, .. } => load_outcome = Some(outcome),
                other => panic!("{other:?}"),
            },
            accepted = listener.accept() => {
                let mut stream = accepted.unwrap().0;
                let mut buffer = vec![0; 4096];
                // An unused connection is closed, or stays open.
                let read = tokio::time::timeout(Duration::from_millis(500), stream.read(&mut buffer)).await;
                if let Ok(Ok(n @ 1..)) = read {
                    bytes += n;
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await.unwrap();
                }
                streams.push(stream);
            }
        }
    }
    (attempt_outcome.unwrap(), load_outcome.unwrap(), bytes)
}

#[tokio::test]
async fn nothing_is_written_for_a_function_that_closed_while_the_connection_was_opened() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for (function, retires, at) in
                [("f", Some("f"), 50), ("strict", None, 100), ("strict", Some("strict"), 50)]
            {
                let not_sent = (Outcome::Superseded, Outcome::Timeout, 0);
                assert_eq!(sent(function, retires, at).await, not_sent, "{function} {retires:?} {at}");
            }
            // Requests of open functions are sent although other functions are closed.
            for (function, retires, at) in
                [("f", None, 50), ("f", Some("strict"), 100), ("strict", Some("f"), 99)]
            {
                let (attempt_outcome, load_outcome, bytes) = sent(function, retires, at).await;
                assert_eq!(
                    (attempt_outcome, load_outcome),
                    (Outcome::Ok, Outcome::Ok),
                    "{function} {retires:?} {at}"
                );
                assert!(bytes > 0);
            }
        })
        .await;
}
