//! Another process answers at the address of an executor that has gone: keyed requests that may have run are sent again
//! only to executors that are known to be in the cell that drops their repeats.

use crate::stage::{ms, Stage, KEYS, LOOK};
use serde_json::json;
use stagehoist_emulator::platform::bus::SubscriptionFault;
use stagehoist_emulator::platform::{Client, Executor, ExecutorRequest, Fault};
use std::collections::BTreeSet;
use std::time::Duration;

/// Id of the executor that starts at the address of another one.
const REPLACEMENT: u32 = 9;
/// Requests of each phase, and the pause between two of them.
const REQUESTS: u64 = 300;
const PAUSE: Duration = Duration::from_millis(4);
/// The executors fail one in so many requests.
const ERROR_INTERVAL: u64 = 3;
/// Somewhat longer than the second between two frames of the event bus.
const FRAME_INTERVAL: Duration = Duration::from_millis(1100);
/// By then the endpoint list of a silent event bus is old.
const LIST_EXPIRY: Duration = Duration::from_millis(2500);
/// Fewer requests at an executor would show nothing.
const MIN_REQUESTS: usize = 10;

/// Starts executors in these cells, with a class that each cell deduplicates.
async fn start_in_cells(cells: &'static [u16]) -> Stage {
    Stage::start_with(cells.len() as u32, 256, |config| {
        let class = &mut config["settings"]["classes"][0];
        class["effect"] = json!("deduplicated");
        class["dedup_scope"] = json!("cell");
        class["key_ttl"] = json!(10_000.0);
        config["settings"]["specifics"]["if_cold"] = json!("load");
        let hosts = config["known"]["batch"][0]["topology"]["hosts"].as_array_mut().unwrap();
        for (host, cell) in hosts.iter_mut().zip(cells) {
            host["block"] = json!(cell);
            // Two requests fill an executor, so that all of them get requests.
            host["share"] = json!(2.0);
        }
    })
    .await
}

/// Sends requests of the keyed class, numbered from `first`. These executors answer some of them with an error,
/// although the requests ran.
async fn send_keyed(client: &mut Client, first: u64, failing: &[&Executor]) {
    for number in first..first + REQUESTS {
        if number % ERROR_INTERVAL == 0 {
            failing.iter().for_each(|executor| executor.spoil([Fault::Error]));
        }
        let key = KEYS[number as usize % KEYS.len()];
        let fields = format!(
            "ref={number:016x},allow={LOOK},project=acme,lookup={key},effort=20,extras=memory_mb:64;lanes:4"
        );
        client.request(number, "look", &fields, b"keyed").await.unwrap();
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns the ids of the requests that an executor received.
fn received(executor: &Executor) -> BTreeSet<String> {
    let id = |what| match what {
        ExecutorRequest::Run { id, .. } => Some(id),
        _ => None,
    };
    executor.seen().into_iter().filter_map(|seen| id(seen.what)).collect()
}

/// Guards against repeats to a process of another cell that replaced an executor while discovery was silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replacement_that_discovery_did_not_report_gets_no_repeats_of_the_old_cell() {
    let mut stage = start_in_cells(&[1, 1]).await;
    let mut client = stage.client().await;
    send_keyed(&mut client, 1, &[]).await;
    stage.bus.mood(SubscriptionFault::Silent);
    tokio::time::sleep(LIST_EXPIRY).await;
    let address = stage.executors[1].address;
    stage.executors.remove(1).end();
    let replacement = Executor::start_at(&[address], REPLACEMENT, ms(20), ms(100)).await.unwrap();
    replacement.holds(&KEYS);
    send_keyed(&mut client, 1 + REQUESTS, &[&stage.executors[0], &replacement]).await;
    client.wait(2 * REQUESTS as usize, ms(LOOK + 500)).await;
    let (old_cell, new_cell) = (received(&stage.executors[0]), received(&replacement));
    assert!(new_cell.len() >= MIN_REQUESTS, "{} requests at the replacement", new_cell.len());
    let in_both_cells: Vec<_> = old_cell.intersection(&new_cell).collect();
    assert!(in_both_cells.is_empty(), "{in_both_cells:?} arrived in two cells");
    assert_eq!(client.answers().len(), 2 * REQUESTS as usize);
}

/// The counterpart: the rule must not cost the retries that it allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_requests_that_may_have_run_are_sent_again_within_their_cell() {
    let stage = start_in_cells(&[1, 1, 2]).await;
    let mut client = stage.client().await;
    // Only connections that are older than the last frame of the event bus are known to lead to their executors.
    send_keyed(&mut client, 1, &[]).await;
    tokio::time::sleep(FRAME_INTERVAL).await;
    let failing: Vec<&Executor> = stage.executors.iter().collect();
    send_keyed(&mut client, 1 + REQUESTS, &failing).await;
    client.wait(2 * REQUESTS as usize, ms(LOOK + 500)).await;
    let received: Vec<_> = stage.executors.iter().map(received).collect();
    let within_cell = received[0].intersection(&received[1]).count();
    assert!(within_cell >= MIN_REQUESTS, "{within_cell} requests were sent again within cell 1");
    for first in &received[..2] {
        assert_eq!(first.intersection(&received[2]).count(), 0, "requests arrived in cells 1 and 2");
    }
}
