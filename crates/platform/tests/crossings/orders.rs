//! Timeouts of unanswered load orders, on real sockets and without periodic checks.

use crate::stage::{listen, on_one_thread, Peer, Stage, WAIT};
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::Input;
use stagehoist_platform::executors::LoadCommand;
use std::io::Write;
use std::time::{Duration, Instant};

const LOAD_TIMEOUT: Micros = 300_000;

fn order_load(stage: &Stage) -> Instant {
    let sent = Instant::now();
    stage.executors.load(LoadCommand {
        worker: 1,
        function: 9,
        name: "7f3a9c21e0b4d655",
        copies: 1,
        start_by: Micros::MAX,
    });
    stage.executors.flush_all();
    sent
}

async fn load_outcome(stage: &mut Stage) -> Outcome {
    loop {
        let item = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
        if let Some(Input::Loaded { outcome, .. }) = item {
            return outcome;
        }
    }
}

/// No data arrived since its last byte: the connection is closed at the moment of the timeout.
#[test]
fn a_load_order_that_times_out_closes_its_connection_without_a_periodic_check() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::with(1, 64, LOAD_TIMEOUT);
        stage.at(address);
        // The connection is idle, so its task must be notified of the order.
        stage.send(1);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000001")).await;
        write!(peer.stream, "0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        let sent = order_load(&stage);
        stage.until(|| peer.has("HOLD ")).await;
        stage.until(|| !peer.read_available()).await;
        assert!(sent.elapsed() >= Duration::from_micros(LOAD_TIMEOUT as u64), "closed before the timeout");
        assert_eq!(load_outcome(&mut stage).await, Outcome::Error);
    });
}

/// The process is stalled past the timeout, and the answer is in the socket when it continues: the answer counts, and
/// the connection stays open.
#[test]
fn a_load_order_whose_answer_is_unread_at_its_timeout_counts_as_answered() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::with(1, 64, LOAD_TIMEOUT);
        stage.at(address);
        order_load(&stage);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("HOLD 1 ")).await;
        write!(peer.stream, "1 OK copies=1\r\n").unwrap();
        std::thread::sleep(2 * Duration::from_micros(LOAD_TIMEOUT as u64));
        assert_eq!(load_outcome(&mut stage).await, Outcome::Ok);
        stage.send(1);
        stage.until(|| peer.has("RUN 0000000000000001")).await;
    });
}
