//! Process exit, and a process that was stopped for a while.

use crate::stage::{ms, served, Stage};
use rustix::process::Signal;
use stagehoist_emulator::platform::Fault;
use std::time::Instant;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_sigterm_all_requests_received_in_time_are_answered_and_the_exit_code_is_0() {
    let mut stage = Stage::start(3, 256).await;
    let mut clients = vec![stage.client().await];
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    for n in 1..=20 {
        stage.call(&mut clients[0], n).await;
    }
    stage.signal(Signal::TERM);
    let term = Instant::now();
    let mut n = 20;
    while term.elapsed() < ms(600) {
        n += 1;
        if n == 30 {
            clients.push(stage.client().await);
        }
        let last = clients.len() - 1;
        stage.call(&mut clients[last], n).await;
        tokio::time::sleep(ms(20)).await;
    }
    let code = stage.ends(ms(2700)).await;
    let mut answers = Vec::new();
    for client in &mut clients {
        answers.extend(client.wait(usize::MAX, ms(200)).await);
    }
    assert_eq!((answers.len(), code), (n as usize, Some(0)));
    stage.verdict(&answers);
}

/// The process is stopped for longer than calls take: answers that arrived meanwhile are forwarded, and no call times
/// out because of the stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_of_the_process_counts_against_neither_calls_nor_executors() {
    let mut stage = Stage::start(3, 256).await;
    let mut client = stage.client().await;
    for n in 1..=40 {
        if n % 10 == 0 {
            stage.signal(Signal::STOP);
            tokio::time::sleep(ms(300)).await;
            stage.signal(Signal::CONT);
        }
        stage.call(&mut client, n).await;
        tokio::time::sleep(ms(10)).await;
    }
    let answers = client.wait(40, ms(4000)).await;
    assert_eq!((answers.len(), served(&answers)), (40, 40));
    stage.verdict(&answers);
}
