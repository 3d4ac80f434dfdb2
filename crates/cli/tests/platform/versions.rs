//! A function gets a new version at low load: executors lose copies that a front end assumes to exist.

use crate::stage::{ms, Stage, KEYS};
use stagehoist_emulator::platform::{Answered, Client, Executor, ExecutorRequest};
use std::collections::BTreeMap;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const OLD: &str = KEYS[0];
const NEW: &str = "00000000000000aa";
/// Maximum number of attempts per call, as in the settings of the test harness.
const MAX_ATTEMPTS: usize = 3;

/// Replaces the old version by the new one on an executor.
async fn replace_version(executor: &Executor) {
    let frees =
        |e: &Executor| e.seen().iter().filter(|s| matches!(s.what, ExecutorRequest::Free { .. })).count();
    let before = frees(executor);
    let mut stream = TcpStream::connect(executor.address).await.unwrap();
    stream.write_all(format!("FREE {OLD}\r\n").as_bytes()).await.unwrap();
    while frees(executor) == before {
        tokio::time::sleep(ms(1)).await;
    }
    executor.holds(&[NEW]);
}

async fn call(client: &mut Client, n: u64, key: &str) {
    let list =
        format!("ref={n:016x},allow=1500,project=acme,lookup={key},effort=20,extras=memory_mb:64;lanes:4");
    client.request(n, "look", &list, b"x").await.unwrap();
}

/// Sends calls one after another, so that each ends before the next one is assigned.
async fn one_by_one(client: &mut Client, numbers: std::ops::Range<u64>, key: &str) -> Vec<Answered> {
    let before = client.answers().len();
    for n in numbers {
        let answered = client.answers().len();
        call(client, n, key).await;
        client.wait(answered + 1, ms(5000)).await;
    }
    client.answers().split_off(before)
}

/// Returns the attempts of each call, and how often each executor reported each key as missing, minus the orders to
/// load it there.
fn attempts_and_misses(stage: &Stage) -> (BTreeMap<String, usize>, BTreeMap<(u32, String), i64>) {
    let (mut attempts, mut misses) = (BTreeMap::new(), BTreeMap::new());
    for executor in &stage.executors {
        let mut keys = BTreeMap::new();
        for seen in executor.seen() {
            match seen.what {
                ExecutorRequest::Run { id, key, .. } => {
                    *attempts.entry(id.clone()).or_insert(0) += 1;
                    keys.insert(id, key);
                }
                ExecutorRequest::Answered { id, word } if word == "MISS" => {
                    *misses.entry((executor.id, keys[&id].clone())).or_insert(0) += 1;
                }
                ExecutorRequest::Hold { key, copies } if copies > 0 => {
                    *misses.entry((executor.id, key)).or_insert(0) -= 1;
                }
                _ => {}
            }
        }
    }
    (attempts, misses)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn assumed_copies_of_an_old_version_are_dropped_at_the_first_miss() {
    let stage = Stage::start(6, 256).await;
    let mut client = stage.client().await;
    let served = |answers: &[Answered]| answers.iter().filter(|a| a.word == "200").count();
    // Sent concurrently, so that the front end assumes copies at several executors.
    for n in 1..=24 {
        call(&mut client, n, OLD).await;
    }
    assert_eq!(served(&client.wait(24, ms(5000)).await), 24);
    let (with_copies, others): (Vec<usize>, Vec<usize>) = (0..6).partition(|n| stage.runs(*n) > 0);
    assert!(with_copies.len() >= 2 && !others.is_empty(), "{with_copies:?}");
    let mut next = 100;
    for (changed, last) in [(with_copies, false), (others, true)] {
        for n in &changed {
            replace_version(&stage.executors[*n]).await;
        }
        let old = one_by_one(&mut client, next..next + 40, OLD).await;
        let new = one_by_one(&mut client, next + 40..next + 80, NEW).await;
        next += 100;
        assert_eq!((old.len(), new.len()), (40, 40), "not every call is answered");
        assert!(served(&new) >= 39, "{changed:?}: {} calls of the new version served", served(&new));
        if !last {
            assert!(served(&old) >= 39, "{changed:?}: {} calls of the old version served", served(&old));
        }
        let (attempts, misses) = attempts_and_misses(&stage);
        let max = attempts.values().max().unwrap();
        assert!(*max <= MAX_ATTEMPTS, "{changed:?}: {max} attempts for a call");
        assert!(
            misses.values().all(|n| *n <= 1),
            "{changed:?}: sent again to an executor that reported a miss: {misses:?}"
        );
    }
}
