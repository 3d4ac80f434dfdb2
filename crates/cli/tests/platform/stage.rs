//! Test harness: the command between emulated clients, executors and an event bus.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use stagehoist_emulator::platform::bus::record;
use stagehoist_emulator::platform::client::array;
pub use stagehoist_emulator::platform::configuration::configuration as config;
use stagehoist_emulator::platform::process::{start_front_end, StartedFrontEnd};
use stagehoist_emulator::platform::{
    judge, Answered, Client, EventBus, Executor, ExecutorRequest, RuleSettings, SentRequest,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const LOOK: u64 = 1500;
pub const KEYS: [&str; 4] = ["7f3a9c21e0b4d655", "0000000000000002", "0000000000000003", "0000000000000004"];

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns an address that is unique to this run: the system neither assigns it nor connects from it.
pub fn own_address(port: u16) -> SocketAddr {
    let [_, b, c, d] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 + b % 64, c, d.clamp(1, 254)], port))
}

pub struct Stage {
    pub _folder: tempfile::TempDir,
    pub config: PathBuf,
    pub executors: Vec<Executor>,
    pub bus: EventBus,
    pub child: Child,
    pub listen: SocketAddr,
    pub sent: Vec<SentRequest>,
    pub rules: RuleSettings,
    /// Log lines of the command since it started.
    pub log: Arc<Mutex<Vec<String>>>,
}

/// Starts the command; returns its process, its address, and its log from then on.
pub fn command(config: &Path) -> (Child, SocketAddr, Arc<Mutex<Vec<String>>>) {
    let StartedFrontEnd { child, listen, log } =
        start_front_end(Path::new(env!("CARGO_BIN_EXE_stagehoist")), config, &[]).unwrap();
    (child, listen, log)
}

/// Sets a field of every class.
pub fn config_classes(rules: &mut serde_json::Value, field: &str, value: u64) {
    for class in rules["settings"]["classes"].as_array_mut().unwrap() {
        class[field] = json!(value as f64);
    }
}

impl Stage {
    pub async fn start(executors: u32, sockets: u64) -> Stage {
        Stage::start_with(executors, sockets, |_| ()).await
    }

    /// Starts with a modified configuration.
    pub async fn start_with(executors: u32, sockets: u64, edit: impl Fn(&mut serde_json::Value)) -> Stage {
        Stage::start_before(Stage::executors(executors).await, sockets, edit).await
    }

    /// Starts executors that have loaded every function.
    pub async fn executors(count: u32) -> Vec<Executor> {
        let mut all = Vec::new();
        for id in 1..=count {
            let executor = Executor::start(id, ms(20), ms(100)).await.unwrap();
            executor.holds(&KEYS);
            all.push(executor);
        }
        all
    }

    /// Starts the command before these executors, with a modified configuration.
    pub async fn start_before(
        all: Vec<Executor>,
        sockets: u64,
        edit: impl Fn(&mut serde_json::Value),
    ) -> Stage {
        let bus = EventBus::start(1).await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let mut rules = config(&all, bus.address, sockets);
        edit(&mut rules);
        std::fs::write(&path, rules.to_string()).unwrap();
        let (child, listen, log) = command(&path);
        let rules =
            RuleSettings { grace: ms(250), ration: (6.0, 0.1, ms(10_000)), ..RuleSettings::default() };
        let sent = Vec::new();
        let stage =
            Stage { _folder: folder, config: path, executors: all, bus, child, listen, sent, rules, log };
        let mut client = stage.client().await;
        client.raw(&array(&[b"HEALTH", b"8", b""])).await.unwrap();
        assert_eq!(client.wait(1, ms(5000)).await[0].word, "serving");
        stage
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.listen).await.unwrap()
    }

    /// Sends call number `n`; odd ones are unsafe.
    pub async fn call(&mut self, client: &mut Client, n: u64) {
        let (class, is_unsafe) = if n % 2 == 1 { ("book", true) } else { ("look", false) };
        let id = format!("{n:016x}");
        let key = KEYS[(n / 2 % 4) as usize];
        let fields =
            format!("ref={id},allow={LOOK},project=acme,lookup={key},effort=20,extras=memory_mb:64;lanes:4");
        let body = vec![n as u8; (n % 300) as usize];
        let at = Instant::now();
        client.request(n, class, &fields, &body).await.unwrap();
        let (tag, allow, left) = (n.to_string(), ms(LOOK), None);
        self.sent.push(SentRequest { at, id, tag, allow, is_unsafe, body, left });
    }

    /// Sends calls with these numbers, with a pause after each.
    pub async fn calls(
        &mut self,
        client: &mut Client,
        numbers: std::ops::RangeInclusive<u64>,
        pause: Duration,
    ) {
        for n in numbers {
            self.call(client, n).await;
            tokio::time::sleep(pause).await;
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Returns the number of log lines that contain all of these words.
    pub fn logged(&self, words: &[&str]) -> usize {
        self.log.lock().unwrap().iter().filter(|line| words.iter().all(|w| line.contains(w))).count()
    }

    pub fn verdict(&self, answers: &[Answered]) {
        let seen: Vec<_> = self.executors.iter().map(|e| (e.id, e.seen())).collect();
        let broken = judge(&self.sent, answers, &seen, &self.rules);
        assert!(broken.is_empty(), "{broken:#?}");
    }

    pub fn drain(&mut self, n: usize) {
        let e = &self.executors[n];
        self.bus.change(&[record(e.id, e.address, 1, 0)]);
        self.rules.drained.insert(e.id, Instant::now());
    }

    pub fn runs(&self, n: usize) -> usize {
        self.executors[n].seen().iter().filter(|s| matches!(s.what, ExecutorRequest::Run { .. })).count()
    }

    pub async fn ends(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(ms(10)).await;
        }
        None
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn served(answers: &[Answered]) -> usize {
    answers.iter().filter(|a| a.word == "200").count()
}

pub async fn settle(clients: &mut [Client], each: usize) -> Vec<Answered> {
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.wait(each, ms(4000)).await);
    }
    all
}
