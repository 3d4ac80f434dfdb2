//! Many clients that connect at the same moment.

use crate::rig::{shared_lock, Rig, Shape};
use crate::threads::on_this_thread;
use rustix::process::Signal;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::Client;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Clients that connect at once: nearly as many as a front end with the default limit of descriptors serves.
const CLIENTS: usize = 240;
/// How long the front end does not run while they connect.
const STOP: Duration = Duration::from_millis(200);
/// An answer later than this counts as lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Maximum time for which a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects, and returns when the answer to a health check came.
async fn check_health(to: SocketAddr) -> Option<Instant> {
    let mut client = Client::connect(to).await.ok()?;
    client.raw(&array(&[b"HEALTH", b"1", b""])).await.ok()?;
    let answers = client.wait(1, CLIENT_TIMEOUT).await;
    answers.first().map(|answer| answer.at)
}

/// Returns how long after the front end runs again the slowest client is answered.
async fn slowest_answer() -> Duration {
    let rig = Rig::start(Shape::usual(1, 2, 1), |_| Vec::new()).await;
    let to = rig.front_ends[0].listen;
    rig.front_ends[0].signal(Signal::STOP);
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(check_health(to));
    }
    tokio::time::sleep(STOP).await;
    rig.front_ends[0].signal(Signal::CONT);
    let running_at = Instant::now();
    let mut slowest = Duration::ZERO;
    while let Some(answered_at) = clients.join_next().await {
        let answered_at = answered_at.unwrap().expect("each client is answered");
        slowest = slowest.max(answered_at.saturating_duration_since(running_at));
    }
    rig.finish().await;
    slowest
}

/// Guards against a short queue of the listener: what does not fit is sent again by the system after a second or more.
#[test]
fn clients_that_connect_at_once_while_a_front_end_does_not_run_are_answered_right_after() {
    let _lock = shared_lock();
    let slowest = on_this_thread(slowest_answer());
    println!("slowest answer {slowest:?}");
    assert!(slowest <= ANSWER_LIMIT, "{slowest:?}");
}
