//! Requests end while the network to their executor is partitioned. What was written for them must not start them
//! there when the partition ends, however they ended.

use crate::link::Link;
use crate::stage::{ms, Stage, LOOK};
use rustix::process::Signal;
use serde_json::json;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{after_leaving, Client};
use std::time::{Duration, Instant};

const CALLS: u64 = 16;
/// Time for which requests wait for their executor before their clients leave.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time from the end of the requests to the end of the partition: longer than an attempt may begin late, and long
/// enough for a process that gets little of a busy machine.
const PARTITION_AFTER: Duration = Duration::from_millis(600);
/// Time for what the network held to arrive.
const SETTLING: Duration = Duration::from_millis(400);

/// How the requests end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Abort,
    Close,
    /// Their clients wait until their time is over.
    Deadline,
    /// The process is told to end, and ends with its drain.
    Drain,
    Crash,
}

/// Starts a front end whose executors are reached over links, and lets it find their functions.
async fn start() -> (Stage, Vec<Link>, Client) {
    let executors = Stage::executors(2).await;
    let mut links = Vec::new();
    for executor in &executors {
        links.push(Link::to(executor.address).await);
    }
    let mut stage = Stage::start_before(executors, 256, |document| {
        let hosts = document["known"]["batch"][0]["topology"]["hosts"].as_array_mut().unwrap();
        for (host, link) in hosts.iter_mut().zip(&links) {
            host["dial"] = json!(link.address.to_string());
        }
    })
    .await;
    let mut client = stage.client().await;
    let first = 1000;
    stage.calls(&mut client, first..=first + 40, ms(0)).await;
    assert_eq!(client.wait(41, ms(5000)).await.len(), 41);
    (stage, links, client)
}

fn held_requests(links: &[Link]) -> usize {
    links.iter().map(Link::held_requests).sum()
}

fn runs(stage: &Stage) -> usize {
    (0..stage.executors.len()).map(|n| stage.runs(n)).sum()
}

/// Ends the requests and returns when they had ended.
async fn end_requests(how: End, stage: &mut Stage, mut client: Client) -> Instant {
    match how {
        End::Abort => {
            for n in 1..=CALLS {
                client.raw(&array(&[b"ABORT", n.to_string().as_bytes()])).await.unwrap();
            }
            let left = Instant::now();
            // It stays connected, so that the ABORT is its only cancellation.
            tokio::spawn(async move {
                tokio::time::sleep(ms(2 * LOOK)).await;
                drop(client);
            });
            left
        }
        End::Close => {
            drop(client);
            Instant::now()
        }
        End::Deadline => {
            let last = stage.sent.iter().map(|call| call.at).max().unwrap();
            tokio::time::sleep_until((last + ms(LOOK)).into()).await;
            Instant::now()
        }
        End::Drain => {
            stage.signal(Signal::TERM);
            assert_eq!(stage.ends(ms(8000)).await, Some(0));
            Instant::now()
        }
        End::Crash => {
            stage.signal(Signal::KILL);
            stage.ends(ms(8000)).await;
            Instant::now()
        }
    }
}

async fn check(how: End) {
    let (mut stage, links, mut client) = start().await;
    let warm_up = stage.sent.len();
    links.iter().for_each(Link::cut);
    stage.calls(&mut client, 1..=CALLS, ms(0)).await;
    tokio::time::sleep(PATIENCE).await;
    assert!(held_requests(&links) > 0, "no request is on its way to an executor");
    let before = runs(&stage);
    let left = end_requests(how, &mut stage, client).await;
    stage.sent[warm_up..].iter_mut().for_each(|call| call.left = Some(left));
    tokio::time::sleep(PARTITION_AFTER).await;
    assert_eq!(runs(&stage), before, "the links are not cut");
    links.iter().for_each(Link::restore);
    tokio::time::sleep(SETTLING).await;
    let seen: Vec<_> = stage.executors.iter().map(|e| (e.id, e.seen())).collect();
    let after = after_leaving(&stage.sent, &seen);
    assert_eq!(after.late, 0, "{how:?}: {after}");
}

/// Guards against attempts that begin after a partition although their clients cancelled them during it: the system
/// went on sending the written requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_cancelled_during_a_partition_do_not_begin_after_it() {
    check(End::Abort).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_clients_that_disconnect_during_a_partition_do_not_begin_after_it() {
    check(End::Close).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_whose_time_ends_during_a_partition_do_not_begin_after_it() {
    check(End::Deadline).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_a_process_that_drains_during_a_partition_do_not_begin_after_it() {
    check(End::Drain).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_a_process_that_is_killed_during_a_partition_do_not_begin_after_it() {
    check(End::Crash).await;
}
