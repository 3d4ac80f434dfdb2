//! Served calls, and malformed answers.

use crate::stage::{ms, served, settle, Stage, KEYS, LOOK};
use stagehoist_emulator::platform::bus::record;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Executor, ExecutorRequest, Fault};
use std::time::Instant;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_served_completely_and_in_any_order_and_misses_are_loaded() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    stage.calls(&mut client, 1..=30, ms(10)).await;
    let answers = client.wait(30, ms(4000)).await;
    assert_eq!(served(&answers), 30);
    // A function that no executor holds is loaded by order.
    let fields = format!("ref=00000000000000aa,allow={LOOK},project=acme,lookup=00000000000000bb,effort=20,extras=memory_mb:64;lanes:4;load_ms:100");
    client.request(99, "look", &fields, b"x").await.unwrap();
    assert_eq!(client.wait(31, ms(4000)).await[30].word, "200");
    let held = |e: &Executor| {
        e.seen()
            .iter()
            .any(|s| matches!(&s.what, ExecutorRequest::Hold { key, .. } if key == "00000000000000bb"))
    };
    assert!(stage.executors.iter().any(held));
    // A request that its executor never answers and its client aborts: it is stopped, and nothing more is written for
    // it.
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    client.request(100, "look", &fields.replace("aa,", "ab,"), b"x").await.unwrap();
    tokio::time::sleep(ms(100)).await;
    client.raw(&array(&[b"ABORT", b"100"])).await.unwrap();
    tokio::time::sleep(ms(300)).await;
    let stopped = |e: &Executor| {
        e.seen().iter().any(|s| s.what == ExecutorRequest::Stop { id: "00000000000000ab".into() })
    };
    assert!(stage.executors.iter().any(stopped));
    assert_eq!(client.answers().len(), 31);
    stage.verdict(&answers);
}

/// Every kind of faulty answer, for safe and unsafe calls, with other requests on the same connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_answers_break_no_rule_and_other_calls_continue() {
    use Fault::*;
    let mut stage = Stage::start(3, 256).await;
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(stage.client().await);
    }
    let faults = [
        Noise,
        Endless,
        WrongLength,
        Huge,
        CutOff,
        StopsShort,
        Never,
        Late,
        Twice,
        UnknownBefore,
        Reset,
        Error,
    ];
    let mut n = 0;
    for fault in faults {
        stage.executors.iter().for_each(|e| e.spoil([fault]));
        for client in &mut clients {
            for _ in 0..4 {
                n += 1;
                stage.call(client, n).await;
            }
        }
        tokio::time::sleep(ms(150)).await;
    }
    let answers = settle(&mut clients, 48).await;
    assert_eq!(answers.len(), 192);
    // Three answers of each kind were faulty; repeated ones and those after an unknown id count as good.
    assert!(served(&answers) >= 150, "{} served", served(&answers));
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_call_is_answered_when_an_executor_ends_and_is_replaced() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    let mut n = 0;
    for round in 0..100u64 {
        n += 1;
        stage.call(&mut client, n).await;
        if round == 20 {
            stage.executors[0].end();
        }
        if round == 40 {
            let new = Executor::start(77, ms(20), ms(100)).await.unwrap();
            new.holds(&KEYS);
            let old = &stage.executors[0];
            let events = [record(old.id, old.address, 2, 0), record(77, new.address, 0, 0)];
            stage.bus.change(&events);
            stage.rules.drained.insert(old.id, Instant::now());
            stage.executors.push(new);
        }
        tokio::time::sleep(ms(10)).await;
    }
    let answers = client.wait(n as usize, ms(4000)).await;
    assert_eq!(answers.len(), 100);
    assert!(served(&answers) >= 90 && stage.runs(3) > 0, "{} served", served(&answers));
    stage.verdict(&answers);
}
