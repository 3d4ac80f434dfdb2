//! The descriptor limit is reached while the event bus is unreachable.

use crate::stage::{ms, own_address, served, Stage, LOOK};
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, EventBus};
use std::time::{Duration, Instant};

/// Number of descriptors that the process may open. Its configuration states more, so that the system refuses and not
/// the front end's own bounds.
const MAX_DESCRIPTORS: u64 = 48;
const HEALTH: &[&[u8]] = &[b"HEALTH", b"8", b""];

impl Stage {
    /// Whether the system refused the process a descriptor, according to its log. The system refuses only while all
    /// descriptors below the limit are open at the same time. They can't be counted from outside: one is released
    /// after each new client and kept available, so that all are open for an instant only, and descriptors inherited
    /// above the limit count too.
    fn refused(&self, whom: &str) -> bool {
        let (whom, most) = (format!("whom={whom}"), format!("most={MAX_DESCRIPTORS}"));
        self.logged(&["the system refuses a descriptor", &whom, &most]) > 0
    }

    fn set_descriptor_limit(&self, descriptors: u64) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // The hard limit stays that of this process.
        let limit = Rlimit { current: Some(descriptors), ..getrlimit(Resource::Nofile) };
        prlimit(pid, Resource::Nofile, limit).unwrap();
    }

    /// Connects clients that send one request and stay; some of them may wait to be accepted.
    async fn idle(&self, many: usize) -> Vec<Client> {
        let mut idle = Vec::new();
        for _ in 0..many {
            let mut client = self.client().await;
            client.raw(&array(HEALTH)).await.unwrap();
            idle.push(client);
        }
        idle
    }

    /// Connects a new client and waits until it is answered `serving`.
    async fn new_client(&self) -> Client {
        let mut client = self.client().await;
        client.raw(&array(HEALTH)).await.unwrap();
        let answers = client.wait(1, ms(5000)).await;
        assert_eq!(answers.first().map(|a| a.word.as_str()), Some("serving"));
        client
    }

    /// Sends calls of functions that no executor holds, so that each is tried at several executors, and ordinary
    /// calls.
    async fn calls_to_many_executors(&mut self, client: &mut Client, from: u64) {
        for n in from..from + 20 {
            let fields = format!(
                "ref={n:016x},allow={LOOK},project=acme,lookup={:016x},effort=20,extras=memory_mb:1;lanes:4",
                1000 + n
            );
            client.request(n, "look", &fields, b"x").await.unwrap();
        }
        self.calls(client, from + 20..=from + 39, ms(5)).await;
    }
}

/// Which connections reach the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reached {
    Clients,
    Executors,
    Both,
}

async fn check_at_the_limit(reached: Reached) {
    let (bus_at, last) = (own_address(5300 + reached as u16), 1);
    let bus = EventBus::start_at(bus_at, last).await.unwrap();
    let mut stage = Stage::start_with(40, 256, |document| document["bus"] = json!(bus_at.to_string())).await;
    stage.set_descriptor_limit(MAX_DESCRIPTORS);
    while bus.connections() == 0 {
        tokio::time::sleep(ms(5)).await;
    }
    drop(bus);
    let (mut idle, mut before_all) = (Vec::new(), Vec::new());
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut next = 1_000_000;
    if reached != Reached::Executors {
        idle = stage.idle(200).await;
        while !stage.refused("Client") && Instant::now() < deadline {
            tokio::time::sleep(ms(5)).await;
        }
        assert!(stage.refused("Client"), "{reached:?}: clients do not reach the limit");
    }
    if reached != Reached::Clients {
        while !stage.refused("Executor") && Instant::now() < deadline {
            let mut client = stage.new_client().await;
            stage.calls_to_many_executors(&mut client, next).await;
            next += 100;
            before_all.extend(client.wait(41, ms(4000)).await.split_off(1));
        }
        assert!(stage.refused("Executor"), "{reached:?}: connections to executors do not reach the limit");
    }
    // New clients are answered `serving`, and their calls are served.
    let mut answers = Vec::new();
    for round in 0..5u64 {
        idle.extend(stage.idle(20).await);
        let mut client = stage.new_client().await;
        let from = 100 * round + 1;
        stage.calls(&mut client, from..=from + 19, ms(5)).await;
        answers.extend(client.wait(21, ms(4000)).await.split_off(1));
    }
    assert_eq!(answers.len(), 100, "{reached:?}");
    assert!(served(&answers) >= 95, "{reached:?}: {} served", served(&answers));
    // The bus is reachable again, with a new drain event.
    stage.bus = EventBus::start_at(bus_at, last).await.unwrap();
    stage.drain(0);
    idle.extend(stage.idle(20).await);
    let deadline = Instant::now() + ms(4000);
    while stage.bus.connections() == 0 {
        assert!(Instant::now() < deadline, "{reached:?}: the bus is not followed again");
        tokio::time::sleep(ms(5)).await;
    }
    // The event has been received by the time that this client is answered.
    tokio::time::sleep(ms(200)).await;
    drop(stage.new_client().await);
    let before = stage.runs(0);
    let mut client = stage.new_client().await;
    stage.calls(&mut client, 601..=680, ms(5)).await;
    let after = client.wait(81, ms(4000)).await.split_off(1);
    assert!(after.len() == 80 && served(&after) >= 76, "{reached:?}: {} served", served(&after));
    assert_eq!(stage.runs(0), before, "{reached:?}: sent to a drained executor");
    assert_eq!(stage.child.try_wait().unwrap(), None);
    answers.extend(after);
    answers.extend(before_all);
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_clients_that_use_all_descriptors_block_neither_bus_nor_executors() {
    check_at_the_limit(Reached::Clients).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_executors_that_use_all_descriptors_block_neither_bus_nor_clients() {
    check_at_the_limit(Reached::Executors).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_and_executors_that_use_all_descriptors_do_not_block_the_bus() {
    check_at_the_limit(Reached::Both).await;
}
