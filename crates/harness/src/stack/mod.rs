//! Everything that stands: threads for the emulated systems and taps, processes for the front ends.

mod fleet;
mod front_ends;
mod host;
mod start;
mod workers;

use crate::callers::{Counts, Pace};
use crate::day::Day;
use crate::division::Addresses;
use crate::layout::Layout;
pub use fleet::Between;
use host::{Host, StartWorker};
use stagehoist_checker::capture::{Link, Recorder};
use stagehoist_checker::tap;
use stagehoist_emulator::broker;
use stagehoist_emulator::list::Registry;
use stagehoist_emulator::{store, worker};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};

/// What can keep a stage from standing.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    #[error("can't open a loopback socket: {0}")]
    Socket(#[source] io::Error),
    #[error("can't write the front ends' configuration: {0}")]
    Config(#[source] io::Error),
    #[error("the division can't be computed: {0}")]
    Division(#[source] stagehoist_sharding::DivisionError),
    #[error("can't start {binary}: {source}")]
    Process { binary: PathBuf, source: io::Error },
    #[error("front end {0} ended before it was ordered to ({1})")]
    Ended(u32, String),
    #[error("the front ends do not consume after {0:?}")]
    NotReady(Duration),
    #[error("front end {0} did not end in order within {1:?}: {2}")]
    NoOrderlyEnd(u32, Duration, String),
}

struct WorkerProcess {
    address: String,
    controls: Arc<worker::Controls>,
    down: bool,
}

/// One front end's process.
pub struct FrontEnd {
    pub process: Child,
    config: PathBuf,
}

/// The stack of a day.
pub struct Stack {
    pub layout: Layout,
    pub day: Day,
    pub recorder: Recorder,
    pub links: Vec<Link>,
    pub broker: broker::Handle,
    pub broker_address: String,
    pub store: Arc<store::Controls>,
    pub store_address: String,
    pub registry: Registry,
    pub list_address: String,
    pub counts: Arc<Counts>,
    pub pace: watch::Sender<Pace>,
    /// Tenants that callers name, each with its part of the calls.
    pub tenants: watch::Sender<Vec<crate::day::Calls>>,
    /// Where callers send.
    pub addresses: watch::Sender<Addresses>,
    /// Links between the processes.
    pub between: Between,
    /// By front end and worker.
    pub worker_taps: BTreeMap<(u32, String), Arc<tap::Controls>>,
    pub front_ends: Vec<FrontEnd>,
    /// Broken by hand: did every front end that was ordered to end do so in order.
    pub disorderly: Vec<String>,
    workers: BTreeMap<String, WorkerProcess>,
    start_worker: mpsc::UnboundedSender<StartWorker>,
    binary: PathBuf,
    folder: tempfile::TempDir,
    _hosts: Vec<Host>,
}

/// Milliseconds since 1970.
fn unix_ms() -> i64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

impl Stack {
    /// The addresses that a stranger may use, by name.
    pub fn addresses(&self) -> Vec<(String, String)> {
        let mut all = vec![
            ("broker".to_string(), self.broker_address.clone()),
            ("worker-list".to_string(), self.list_address.clone()),
            ("program-store".to_string(), self.store_address.clone()),
        ];
        all.extend(
            self.workers.iter().map(|(name, stand)| (format!("worker-{name}"), stand.address.clone())),
        );
        all
    }
}

impl Drop for Stack {
    fn drop(&mut self) {
        for front_end in &mut self.front_ends {
            // One that ended already can't be killed, which is as well.
            let _ = front_end.process.kill();
            let _ = front_end.process.wait();
        }
    }
}
