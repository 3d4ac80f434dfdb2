//! One front end of the test harness: its process, its event bus, and its configuration file.

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

/// First port on which front ends listen; the number of the front end is added.
const LISTEN_PORT: u16 = 5000;
/// First port on which their event buses listen.
const BUS_PORT: u16 = 6000;
/// Distance of ports between two successive addresses of a bus that moves.
const BUS_MOVE: u16 = 64;
/// Timeout of a start, and the interval of the health checks that detect its end.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const HEALTH_POLL: Duration = Duration::from_millis(20);
/// Poll interval for the exit of a process.
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
    /// Logs of all its successive processes.
    pub logs: Vec<Log>,
}

impl FrontEnd {
    /// Creates a front end that is not started yet, with its own bus.
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
        // The start blocks its thread, so it runs elsewhere while the emulated systems continue.
        let starting = tokio::task::spawn_blocking(move || start_front_end(program, &file, &environment));
        let StartedFrontEnd { child, log, .. } = starting.await.unwrap().unwrap();
        self.process = Some(child);
        self.logs.push(log);
        self.wait_until_serving().await;
    }

    /// Writes its configuration file.
    fn write(&self, mut config: Value) {
        config["name"] = format!("n{}", self.number).into();
        config["listen"] = self.listen.to_string().into();
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    /// Moves its bus to another address.
    pub async fn move_bus(&mut self) {
        self.bus_moves += 1;
        let port = BUS_PORT + self.bus_moves * BUS_MOVE + self.number as u16;
        self.bus.move_to(address(port)).await.unwrap();
    }

    /// Writes another configuration and makes the process reload it.
    pub fn reload(&self, config: Value) {
        self.write(config);
        self.signal(Signal::HUP);
    }

    /// Waits until the front end reports that it is serving, so that clients connect only afterwards.
    async fn wait_until_serving(&self) {
        let by = Instant::now() + START_TIMEOUT;
        while Instant::now() < by {
            if self.is_serving().await {
                return;
            }
            tokio::time::sleep(HEALTH_POLL).await;
        }
    }

    async fn is_serving(&self) -> bool {
        let Ok(mut client) = Client::connect(self.listen).await else { return false };
        if client.raw(&array(&[b"HEALTH", b"1", b""])).await.is_err() {
            return false;
        }
        let answers = client.wait(1, START_TIMEOUT).await;
        answers.first().is_some_and(|answer| answer.word == "serving")
    }

    /// Returns the resource usage of its process.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.process.as_ref()?.id())
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.process {
            let _ = kill_process(Pid::from_raw(child.id() as i32).unwrap(), signal);
        }
    }

    /// Waits until its process exits, and kills it at `by`.
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

    /// Returns whether its process exited unexpectedly.
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
