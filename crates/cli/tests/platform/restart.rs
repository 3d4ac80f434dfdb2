//! Many front ends restarted together on a busy machine: what lies between a start and `serving`.

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
/// So many of them have to serve within [`READY`].
const NINE_IN_TEN: usize = 27;
const READY: Duration = Duration::from_secs(10);
/// Calls to the system that read, from the start of the program to its first answer: libraries, configuration, the request.
const READS: u64 = 24;
const EXECUTORS: u32 = 350;

fn listen(first: u16, n: usize) -> SocketAddr {
    own_address(first + n as u16)
}

/// Threads that keep every core busy until dropped.
struct Busy(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Busy {
    fn start() -> Busy {
        let over = Arc::new(AtomicBool::new(false));
        let cores = std::thread::available_parallelism().map_or(4, usize::from);
        let spin = |over: Arc<AtomicBool>| move || while !over.load(Ordering::Relaxed) {};
        let threads = (0..cores).map(|_| std::thread::spawn(spin(over.clone()))).collect();
        Busy(over, threads)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        for thread in self.1.drain(..) {
            // A thread that spins has nothing to panic over.
            let _ = thread.join();
        }
    }
}

/// Front ends, each with a file and an address of its own.
struct Fleet {
    folder: tempfile::TempDir,
    children: Vec<Child>,
    size: u64,
    /// The first one's port; they keep theirs.
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
        let mut told = config(executors, bus, 256);
        let mut size = 0;
        for n in 0..MANY {
            (told["name"], told["listen"]) = (json!(format!("n{n}")), json!(listen(port, n).to_string()));
            let text = told.to_string();
            size = text.len() as u64;
            std::fs::write(folder.path().join(format!("{n}.json")), text).unwrap();
        }
        Fleet { folder, children: Vec::new(), size, port }
    }

    fn kill(&mut self) {
        // One that ended by itself needs no end.
        self.children.iter_mut().for_each(|c| drop(c.kill()));
        self.children.drain(..).for_each(|mut c| drop(c.wait()));
    }

    fn file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("{n}.json"))
    }

    /// Starts all at once; gives how long each took to answer `serving`.
    async fn start(&mut self) -> Vec<Duration> {
        let begun = Instant::now();
        for n in 0..MANY {
            let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
            command.arg("platform").env("GW_CONFIG", self.file(n)).env_remove("GW_LISTEN");
            self.children.push(command.stderr(Stdio::null()).spawn().unwrap());
        }
        let mut asking = tokio::task::JoinSet::new();
        for n in 0..MANY {
            let to = listen(self.port, n);
            asking.spawn(async move {
                while begun.elapsed() < 3 * READY {
                    if let Ok(mut client) = Client::connect(to).await {
                        client.raw(&array(&[b"HEALTH", b"8", b""])).await.unwrap();
                        let answers = client.wait(1, READY).await;
                        if answers.first().is_some_and(|a| a.word == "serving") {
                            return begun.elapsed();
                        }
                    }
                    tokio::time::sleep(ms(2)).await;
                }
                3 * READY
            });
        }
        let mut took = asking.join_all().await;
        took.sort();
        took
    }

    /// Calls that read, and bytes read, of each process so far.
    fn reads(&self) -> Vec<(u64, u64)> {
        let read = |child: &Child| {
            let text = std::fs::read_to_string(format!("/proc/{}/io", child.id())).unwrap();
            let of =
                |name: &str| text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok()).unwrap();
            (of("syscr:"), of("rchar:"))
        };
        self.children.iter().map(read).collect()
    }

    /// What all of them may have done by the time they serve: the configuration read once, and with it what the program
    /// itself is loaded from; a connection each to the event subscription at most, none to executors.
    fn has_done_little(&self, since: Instant, executors: &[Executor], bus: &EventBus) {
        // The bus says something each second, and clients ask again where one did not listen yet.
        let seconds = since.elapsed().as_secs() + 1;
        let all = self.reads();
        let (reads, bytes) = (all.iter().map(|r| r.0).max(), all.iter().map(|r| r.1).max());
        println!("at most {reads:?} reads and {bytes:?} bytes, {} told, {seconds} s", self.size);
        for (reads, bytes) in all {
            assert!(reads <= READS + 2 * seconds, "{reads} reads");
            assert!(bytes <= self.size + (64 << 10), "{bytes} bytes read, {} told", self.size);
        }
        assert!(bus.connections() <= MANY, "{} connections to the bus", bus.connections());
        assert_eq!(executors.iter().map(Executor::connections).sum::<usize>(), 0);
    }
}

fn verdict(what: &str, took: &[Duration]) {
    let (median, ninth, last) = (took[MANY / 2], took[NINE_IN_TEN - 1], took[MANY - 1]);
    println!("{what}: median {median:?}, {NINE_IN_TEN} of {MANY} {ninth:?}, last {last:?}");
    assert!(ninth <= READY, "{what}: {took:?}");
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

/// Killed together and started together on a machine whose cores are all busy. Between a start and `serving` lie the reading
/// of the configuration and one turn: nothing is asked of the event subscription or an executor and waited for.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thirty_restarted_together_serve_in_time_and_wait_for_no_one() {
    let executors = executors().await;
    let bus = EventBus::start(1).await.unwrap();
    let mut fleet = Fleet::new(&executors, bus.address, 5100);
    verdict("first start", &fleet.start().await);
    fleet.kill();
    let _busy = Busy::start();
    let (since, before) = (Instant::now(), bus.connections());
    assert!(before <= MANY, "{before} connections at the first start");
    let again = EventBus::start(1).await.unwrap();
    let mut fleet = Fleet::new(&executors, again.address, 5100);
    verdict("restart, all cores busy", &fleet.start().await);
    fleet.has_done_little(since, &executors, &again);
    // Each follows the event subscription by one connection, the first.
    let by = Instant::now() + READY;
    while again.connections() < MANY {
        assert!(Instant::now() < by, "{} follow the bus", again.connections());
        tokio::time::sleep(ms(5)).await;
    }
    assert_eq!(again.connections(), MANY);
}

/// The bus is away at the start: the events of the configuration are enough to serve, and it is followed once it is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thirty_started_without_a_bus_serve_by_what_they_were_told_and_follow_it_once_it_is_there() {
    let executors = executors().await;
    let away = own_address(5299);
    let mut fleet = Fleet::new(&executors, away, 5200);
    verdict("start without a bus", &fleet.start().await);
    let bus = EventBus::start_at(away, 1).await.unwrap();
    let begun = Instant::now();
    while bus.connections() < MANY {
        assert!(begun.elapsed() < READY, "{} follow the bus", bus.connections());
        tokio::time::sleep(ms(5)).await;
    }
    println!("all {MANY} follow the bus after {:?}", begun.elapsed());
    assert_eq!(bus.connections(), MANY, "one connection each");
}
