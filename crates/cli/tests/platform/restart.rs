//! Many front ends restarted together on a busy machine: what delays `serving` after a start.

use crate::stage::{config, ms, own_address, KEYS};
use serde_json::json;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, EventBus, Executor};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MANY: usize = 30;
/// Number of front ends that must serve within [`READY_TIMEOUT`].
const NINE_IN_TEN: usize = 27;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of read system calls from the start of the program to its first answer: libraries, configuration,
/// the request.
const MAX_READS: u64 = 24;
const EXECUTORS: u32 = 350;

fn listen(first: u16, n: usize) -> SocketAddr {
    own_address(first + n as u16)
}

/// Threads that keep every core busy until dropped.
struct Busy(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Busy {
    fn start() -> Busy {
        let is_done = Arc::new(AtomicBool::new(false));
        let cores = std::thread::available_parallelism().map_or(4, usize::from);
        let spin = |is_done: Arc<AtomicBool>| move || while !is_done.load(Ordering::Relaxed) {};
        let threads = (0..cores).map(|_| std::thread::spawn(spin(is_done.clone()))).collect();
        Busy(is_done, threads)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        for thread in self.1.drain(..) {
            // A spinning thread does not panic.
            let _ = thread.join();
        }
    }
}

/// Front ends, each with its own configuration file and address.
struct Fleet {
    folder: tempfile::TempDir,
    children: Vec<Child>,
    size: u64,
    /// The port of the first front end; each keeps its port over restarts.
    port: u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Fleet {
    fn new(executors: &[Executor], bus: SocketAddr, port: u16) -> Fleet {
        let folder = tempfile::tempdir().unwrap();
        let mut document = config(executors, bus, 256);
        let mut size = 0;
        for n in 0..MANY {
            (document["name"], document["listen"]) =
                (json!(format!("n{n}")), json!(listen(port, n).to_string()));
            let text = document.to_string();
            size = text.len() as u64;
            std::fs::write(folder.path().join(format!("{n}.json")), text).unwrap();
        }
        Fleet { folder, children: Vec::new(), size, port }
    }

    fn kill(&mut self) {
        // A process that has exited needs no kill.
        self.children.iter_mut().for_each(|c| drop(c.kill()));
        self.children.drain(..).for_each(|mut c| drop(c.wait()));
    }

    fn file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("{n}.json"))
    }

    /// Starts all front ends at once; returns how long each took to answer `serving`.
    async fn start(&mut self) -> Vec<Duration> {
        let started_at = Instant::now();
        for n in 0..MANY {
            let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
            command.arg("platform").env("GW_CONFIG", self.file(n)).env_remove("GW_LISTEN");
            self.children.push(command.stderr(Stdio::null()).spawn().unwrap());
        }
        let mut probes = tokio::task::JoinSet::new();
        for n in 0..MANY {
            let to = listen(self.port, n);
            probes.spawn(async move {
                while started_at.elapsed() < 3 * READY_TIMEOUT {
                    if let Ok(mut client) = Client::connect(to).await {
                        client.raw(&array(&[b"HEALTH", b"8", b""])).await.unwrap();
                        let answers = client.wait(1, READY_TIMEOUT).await;
                        if answers.first().is_some_and(|a| a.word == "serving") {
                            return started_at.elapsed();
                        }
                    }
                    tokio::time::sleep(ms(2)).await;
                }
                3 * READY_TIMEOUT
            });
        }
        let mut times = probes.join_all().await;
        times.sort();
        times
    }

    /// Returns the number of read system calls and of bytes read by each process so far.
    fn reads(&self) -> Vec<(u64, u64)> {
        let read = |child: &Child| {
            let text = std::fs::read_to_string(format!("/proc/{}/io", child.id())).unwrap();
            let of =
                |name: &str| text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok()).unwrap();
            (of("syscr:"), of("rchar:"))
        };
        self.children.iter().map(read).collect()
    }

    /// Checks what the front ends did before they served: each read the configuration once, in addition to what the
    /// program itself is loaded from, and has at most one connection to the event bus and none to executors.
    fn check_little_was_done(&self, since: Instant, executors: &[Executor], bus: &EventBus) {
        // The bus sends a frame each second, and clients retry while a front end does not listen yet.
        let seconds = since.elapsed().as_secs() + 1;
        let all = self.reads();
        let (reads, bytes) = (all.iter().map(|r| r.0).max(), all.iter().map(|r| r.1).max());
        println!(
            "at most {reads:?} reads and {bytes:?} bytes, {} bytes of configuration, {seconds} s",
            self.size
        );
        for (reads, bytes) in all {
            assert!(reads <= MAX_READS + 2 * seconds, "{reads} reads");
            assert!(
                bytes <= self.size + (64 << 10),
                "{bytes} bytes read, {} bytes of configuration",
                self.size
            );
        }
        assert!(bus.connections() <= MANY, "{} connections to the bus", bus.connections());
        assert_eq!(executors.iter().map(Executor::connections).sum::<usize>(), 0);
    }
}

fn verdict(what: &str, times: &[Duration]) {
    let (median, ninth, last) = (times[MANY / 2], times[NINE_IN_TEN - 1], times[MANY - 1]);
    println!("{what}: median {median:?}, {NINE_IN_TEN} of {MANY} {ninth:?}, last {last:?}");
    assert!(ninth <= READY_TIMEOUT, "{what}: {times:?}");
}

async fn executors() -> Vec<Executor> {
    let mut all = Vec::new();
    for id in 1..=EXECUTORS {
        let executor = Executor::start(id, ms(20), ms(100)).await.unwrap();
        executor.holds(&KEYS);
        all.push(executor);
    }
    all
}

/// All front ends are killed and restarted together on a machine whose cores are all busy. Between a start and
/// `serving` are only the reading of the configuration and one batch: the front end does not wait for the event bus
/// or an executor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thirty_front_ends_restarted_together_serve_in_time_without_waiting_for_others() {
    let executors = executors().await;
    let bus = EventBus::start(1).await.unwrap();
    let mut fleet = Fleet::new(&executors, bus.address, 5100);
    verdict("first start", &fleet.start().await);
    fleet.kill();
    let _busy = Busy::start();
    let (since, before) = (Instant::now(), bus.connections());
    assert!(before <= MANY, "{before} connections at the first start");
    let second_bus = EventBus::start(1).await.unwrap();
    let mut fleet = Fleet::new(&executors, second_bus.address, 5100);
    verdict("restart, all cores busy", &fleet.start().await);
    fleet.check_little_was_done(since, &executors, &second_bus);
    // Each follows the event bus by one connection, its first.
    let by = Instant::now() + READY_TIMEOUT;
    while second_bus.connections() < MANY {
        assert!(Instant::now() < by, "{} follow the bus", second_bus.connections());
        tokio::time::sleep(ms(5)).await;
    }
    assert_eq!(second_bus.connections(), MANY);
}

/// The bus is unreachable at the start: the events of the configuration are enough to serve, and the bus is followed
/// once it is reachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thirty_front_ends_started_without_a_bus_serve_by_their_configuration_and_follow_it_later() {
    let executors = executors().await;
    let bus_address = own_address(5299);
    let mut fleet = Fleet::new(&executors, bus_address, 5200);
    verdict("start without a bus", &fleet.start().await);
    let bus = EventBus::start_at(bus_address, 1).await.unwrap();
    let started_at = Instant::now();
    while bus.connections() < MANY {
        assert!(started_at.elapsed() < READY_TIMEOUT, "{} follow the bus", bus.connections());
        tokio::time::sleep(ms(5)).await;
    }
    println!("all {MANY} follow the bus after {:?}", started_at.elapsed());
    assert_eq!(bus.connections(), MANY, "one connection each");
}
