//! One front end of the rig: its process, its event bus, and the file that it is started with.

use crate::rig::address;
use crate::usage::Usage;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::process::{start_front_end, Log, StartedFrontEnd};
use stagehoist_emulator::platform::{Client, EventBus};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant};

/// Where front ends listen; the number of the front end is added.
const LISTEN_PORT: u16 = 5000;
/// Where their buses listen.
const BUS_PORT: u16 = 6000;
/// Where they move: the next place is so much higher.
const BUS_MOVE: u16 = 64;
/// How long a start may take, and how often it is asked whether it is over.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const HEALTH_POLL: Duration = Duration::from_millis(20);
/// How often the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// One front end.
pub struct FrontEnd {
    pub number: usize,
    pub listen: SocketAddr,
    pub bus: EventBus,
    pub config: PathBuf,
    environment: Vec<(String, String)>,
    bus_moves: u16,
    process: Option<Child>,
    /// Logs of all its processes, one after the other.
    pub logs: Vec<Log>,
}

impl FrontEnd {
    /// A front end that is not started yet, with a bus of its own.
    pub async fn new(number: usize, folder: &Path, environment: Vec<(String, String)>) -> FrontEnd {
        let listen = address(LISTEN_PORT + number as u16);
        let bus = EventBus::start_at(address(BUS_PORT + number as u16), 1).await.unwrap();
        let config = folder.join(format!("n{number}.json"));
        FrontEnd { number, listen, bus, config, environment, bus_moves: 0, process: None, logs: Vec::new() }
    }

    /// Starts its process with this configuration.
    pub async fn start(&mut self, config: Value) {
        self.write(config);
        let program = Path::new(env!("CARGO_BIN_EXE_stagehoist"));
        let (file, environment) = (self.config.clone(), self.environment.clone());
        // The emulated systems go on meanwhile.
        let starting = tokio::task::spawn_blocking(move || start_front_end(program, &file, &environment));
        let StartedFrontEnd { child, log, .. } = starting.await.unwrap().unwrap();
        self.process = Some(child);
        self.logs.push(log);
        self.serving().await;
    }

    /// Writes its configuration.
    fn write(&self, mut config: Value) {
        config["name"] = format!("n{}", self.number).into();
        config["listen"] = self.listen.to_string().into();
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    /// Its bus goes on at another address.
    pub async fn move_bus(&mut self) {
        self.bus_moves += 1;
        let port = BUS_PORT + self.bus_moves * BUS_MOVE + self.number as u16;
        self.bus.move_to(address(port)).await.unwrap();
    }

    /// Has its process read another configuration.
    pub fn reload(&self, config: Value) {
        self.write(config);
        self.signal(Signal::HUP);
    }

    /// Waits until it says that it serves: clients come no sooner.
    async fn serving(&self) {
        let by = Instant::now() + START_TIMEOUT;
        while Instant::now() < by {
            if self.says_that_it_serves().await {
                return;
            }
            tokio::time::sleep(HEALTH_POLL).await;
        }
    }

    async fn says_that_it_serves(&self) -> bool {
        let Ok(mut client) = Client::connect(self.listen).await else { return false };
        if client.raw(&array(&[b"HEALTH", b"1", b""])).await.is_err() {
            return false;
        }
        let answers = client.wait(1, START_TIMEOUT).await;
        answers.first().is_some_and(|answer| answer.word == "serving")
    }

    /// What its process has used.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.process.as_ref()?.id())
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.process {
            let _ = kill_process(Pid::from_raw(child.id() as i32).unwrap(), signal);
        }
    }

    /// Waits for the end of its process, and kills it at `by`.
    pub async fn end_by(&mut self, by: Instant) {
        let Some(mut child) = self.process.take() else { return };
        while Instant::now() < by {
            if child.try_wait().unwrap().is_some() {
                return;
            }
            tokio::time::sleep(EXIT_POLL).await;
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Whether its process ended though nobody ended it.
    pub fn has_crashed(&mut self) -> bool {
        self.process.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
