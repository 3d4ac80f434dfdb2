//! The limit of descriptors reached while the event bus is away.

use crate::stage::{ms, own_address, served, Stage, LOOK};
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, EventBus};
use std::time::{Duration, Instant};

/// Descriptors that the process may have, though it was notified of more: so the system refuses, and not its own bounds.
const MOST: u64 = 48;
const HEALTH: &[&[u8]] = &[b"HEALTH", b"8", b""];

impl Stage {
    /// Whether the system refused the process a descriptor, by the process' own word: it does so only while all those below
    /// the limit are open at once. They can't be counted from outside: one is let go of after each newcomer and kept in
    /// hand, so that a look finds as many as the limit for an instant only; and what was inherited above the limit counts.
    fn refused(&self, whom: &str) -> bool {
        let (whom, most) = (format!("whom={whom}"), format!("most={MOST}"));
        self.logged(&["the system refuses a descriptor", &whom, &most]) > 0
    }

    fn at_most(&self, descriptors: u64) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // It has the hard limit of this process.
        let limit = Rlimit { current: Some(descriptors), ..getrlimit(Resource::Nofile) };
        prlimit(pid, Resource::Nofile, limit).unwrap();
    }

    /// So many clients that ask once and stay, some of which may wait to be accepted.
    async fn idle(&self, many: usize) -> Vec<Client> {
        let mut idle = Vec::new();
        for _ in 0..many {
            let mut client = self.client().await;
            client.raw(&array(HEALTH)).await.unwrap();
            idle.push(client);
        }
        idle
    }

    /// A newcomer to which `serving` is answered.
    async fn newcomer(&self) -> Client {
        let mut client = self.client().await;
        client.raw(&array(HEALTH)).await.unwrap();
        let answers = client.wait(1, ms(5000)).await;
        assert_eq!(answers.first().map(|a| a.word.as_str()), Some("serving"));
        client
    }

    /// Calls of functions that no one holds, so that each is tried at several executors, and of usual ones.
    async fn calls_everywhere(&mut self, client: &mut Client, from: u64) {
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

/// By whom the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reached {
    Clients,
    Executors,
    Both,
}

async fn the_limit_reached(how: Reached) {
    let (bus_at, last) = (own_address(5300 + how as u16), 1);
    let bus = EventBus::start_at(bus_at, last).await.unwrap();
    let mut stage = Stage::start_with(40, 256, |told| told["bus"] = json!(bus_at.to_string())).await;
    stage.at_most(MOST);
    while bus.connections() == 0 {
        tokio::time::sleep(ms(5)).await;
    }
    drop(bus);
    let (mut idle, mut before_all) = (Vec::new(), Vec::new());
    let by = Instant::now() + Duration::from_secs(20);
    let mut next = 1_000_000;
    if how != Reached::Executors {
        idle = stage.idle(200).await;
        while !stage.refused("Client") && Instant::now() < by {
            tokio::time::sleep(ms(5)).await;
        }
        assert!(stage.refused("Client"), "{how:?}: clients do not reach the limit");
    }
    if how != Reached::Clients {
        while !stage.refused("Executor") && Instant::now() < by {
            let mut client = stage.newcomer().await;
            stage.calls_everywhere(&mut client, next).await;
            next += 100;
            before_all.extend(client.wait(41, ms(4000)).await.split_off(1));
        }
        assert!(stage.refused("Executor"), "{how:?}: connections to executors do not reach the limit");
    }
    // Newcomers are told that it serves, and their calls are.
    let mut answers = Vec::new();
    for round in 0..5u64 {
        idle.extend(stage.idle(20).await);
        let mut client = stage.newcomer().await;
        let from = 100 * round + 1;
        stage.calls(&mut client, from..=from + 19, ms(5)).await;
        answers.extend(client.wait(21, ms(4000)).await.split_off(1));
    }
    assert_eq!(answers.len(), 100, "{how:?}");
    assert!(served(&answers) >= 95, "{how:?}: {} served", served(&answers));
    // The bus is back, with the word of a drain.
    stage.bus = EventBus::start_at(bus_at, last).await.unwrap();
    stage.drain(0);
    idle.extend(stage.idle(20).await);
    let by = Instant::now() + ms(4000);
    while stage.bus.connections() == 0 {
        assert!(Instant::now() < by, "{how:?}: the bus is not followed again");
        tokio::time::sleep(ms(5)).await;
    }
    // Told by the time that this one is answered.
    tokio::time::sleep(ms(200)).await;
    drop(stage.newcomer().await);
    let before = stage.runs(0);
    let mut client = stage.newcomer().await;
    stage.calls(&mut client, 601..=680, ms(5)).await;
    let after = client.wait(81, ms(4000)).await.split_off(1);
    assert!(after.len() == 80 && served(&after) >= 76, "{how:?}: {} served", served(&after));
    assert_eq!(stage.runs(0), before, "{how:?}: sent to a drained executor");
    assert_eq!(stage.child.try_wait().unwrap(), None);
    answers.extend(after);
    answers.extend(before_all);
    stage.verdict(&answers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_clients_that_fill_the_descriptors_keep_neither_bus_nor_executors_out() {
    the_limit_reached(Reached::Clients).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_executors_that_fill_the_descriptors_keep_neither_bus_nor_clients_out() {
    the_limit_reached(Reached::Executors).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_and_executors_that_fill_the_descriptors_keep_the_bus_not_out() {
    the_limit_reached(Reached::Both).await;
}
