//! Test harness: several front ends, each with its own event bus, in front of the same executors. Records and judges the
//! traffic on their sockets.

use crate::front_end::FrontEnd;
use crate::peer_flood::{FloodingPeer, PeerFlood};
use crate::rig_host::{RigHost, MAX_RIGS};
use crate::traffic::{run_client, Ledger, Load, Phase};
use rustix::process::Signal;
use serde_json::Value;
use stagehoist_emulator::platform::bus::{
    record_of_capacity, Lateness as BusLateness, Resumption, SubscriptionFault,
};
use stagehoist_emulator::platform::configuration::{document, host};
use stagehoist_emulator::platform::judge::{SlowStart, Start, SLACK};
use stagehoist_emulator::platform::{
    judge, notified_at, Executor, Fault, Intake, ObservedRequest, Outage, RuleSettings, SentRequest,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// First port on which executors listen; each executor has one port for each front end.
const EXECUTOR_PORT: u16 = 10_000;
/// Port on which a flooding peer listens, and its id as an executor.
const FLOODING_PEER_PORT: u16 = 7000;
const FLOODING_EXECUTOR: u32 = 100_000;
/// Maximum number of front ends of a rig.
const MAX_FRONT_ENDS: u16 = 64;
/// Number of executors whose ports fit on one loopback address, and number of such addresses of a rig.
const EXECUTORS_IN_BLOCK: usize = 800;
const EXECUTOR_BLOCKS: u8 = 4;
/// Each function starts with a copy on every `COPY_SPREAD`-th executor.
const COPY_SPREAD: u64 = 3;
/// States of an executor on the event bus.
const READY: u8 = 0;
const DRAINING: u8 = 1;
const REMOVED: u8 = 2;
/// Grace after a drain; equal to the value in the configuration.
const GRACE: Duration = Duration::from_millis(250);
/// Load budget of a front end: load orders that are always allowed, additional load orders per request, and the window.
const LOAD_BUDGET: (f64, f64, Duration) = (6.0, 0.1, Duration::from_secs(10));

thread_local! {
    static HOST: std::cell::Cell<u8> = const { std::cell::Cell::new(0) };
}

/// Returns an address that only this rig uses: the operating system neither assigns these addresses nor connects from them.
/// A rig stays on the thread that created it, because its host number is thread-local.
pub fn address(port: u16) -> SocketAddr {
    address_in_block(0, port)
}

/// Returns an address in one of the blocks of the rig.
fn address_in_block(block: u8, port: u16) -> SocketAddr {
    let [_, _, c, d] = std::process::id().to_be_bytes();
    let host = 128 + HOST.get() * EXECUTOR_BLOCKS + block;
    SocketAddr::from(([127, host, c, d.clamp(1, 254)], port))
}

const _: () =
    assert!(128 + (MAX_RIGS as u16) * (EXECUTOR_BLOCKS as u16) <= 256, "the hosts of the rigs exceed a byte");

static TESTS: RwLock<()> = RwLock::new(());

/// Returns the exclusive lock for a test with thousands of executors. Their listeners use many descriptors, and some of these
/// tests measure processor time, which increases on a processor shared with other tests.
pub fn exclusive_lock() -> RwLockWriteGuard<'static, ()> {
    TESTS.write().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the shared lock for every other test.
pub fn shared_lock() -> RwLockReadGuard<'static, ()> {
    TESTS.read().unwrap_or_else(PoisonError::into_inner)
}

/// Limits of a front-end process, as its configuration states them.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub memory_mb: u32,
    pub sockets: u64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_mb: 64, sockets: 512 }
    }
}

/// Parameters of a rig.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub front_ends: usize,
    pub executors: usize,
    /// Duration of a call on an executor.
    pub run: Duration,
    /// Duration of a load.
    pub load: Duration,
    /// Requests that an executor runs concurrently at full speed.
    pub capacity: u32,
    /// Requests that an executor accepts concurrently; 0: any number.
    pub places: usize,
    /// Whether an executor drops requests without an answer if their remaining time is shorter than a run.
    pub drops_expired: bool,
    /// Longest client timeout in the settings.
    pub longest_deadline: Duration,
    /// Number of front ends of the fleet in the settings; the rig may run only some of them.
    pub fleet_front_ends: usize,
    /// An answer this long after its deadline counts as lost.
    pub answer_slack: Duration,
    /// A peer that can send at full speed: another executor, or the event bus of a rig without other events.
    pub flooding_peer: Option<FloodingPeer>,
    pub limits: ProcessLimits,
    /// How late everything arrives that the buses write from the start.
    pub bus_lateness: BusLateness,
    pub may_health_check: bool,
    pub seed: u64,
}

impl Shape {
    /// Returns a fleet of which all front ends run, with executors that run a call in 20 ms and load a function in 60 ms.
    pub fn usual(front_ends: usize, executors: usize, seed: u64) -> Shape {
        Shape {
            front_ends,
            executors,
            run: Duration::from_millis(20),
            load: Duration::from_millis(60),
            capacity: 8,
            places: 0,
            drops_expired: false,
            longest_deadline: Duration::from_secs(2),
            fleet_front_ends: front_ends,
            answer_slack: SLACK,
            flooding_peer: None,
            limits: ProcessLimits::default(),
            bus_lateness: BusLateness::NONE,
            may_health_check: true,
            seed,
        }
    }
}

/// Measures how late the thread of the emulated systems is scheduled: their timestamps are too late by at most this time.
struct Lateness {
    worst: Arc<Mutex<Duration>>,
    task: JoinHandle<()>,
}

impl Lateness {
    const INTERVAL: Duration = Duration::from_millis(5);

    fn start() -> Lateness {
        let worst = Arc::new(Mutex::new(Duration::ZERO));
        let seen = worst.clone();
        let task = tokio::spawn(async move {
            loop {
                let scheduled_at = Instant::now() + Lateness::INTERVAL;
                tokio::time::sleep_until(scheduled_at.into()).await;
                let mut worst = seen.lock().unwrap();
                *worst = worst.max(scheduled_at.elapsed());
            }
        });
        Lateness { worst, task }
    }

    fn worst(&self) -> Duration {
        *self.worst.lock().unwrap()
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An executor of the rig across its restarts.
struct Slot {
    executor: Executor,
    /// Requests that its earlier processes received, and the number of connections to these processes.
    earlier: Vec<ObservedRequest>,
    earlier_connections: usize,
    /// Time at which its drain was published to the buses.
    drained_at: Option<Instant>,
    ready_again: Option<Instant>,
    state: u8,
    started_ms: u64,
}

/// A client task of a front end, which returns the client's ledger.
struct FrontEndClient {
    front_end: usize,
    ledger: JoinHandle<Ledger>,
}

/// The emulated systems, the front ends and their clients.
pub struct Rig {
    pub shape: Shape,
    _folder: tempfile::TempDir,
    slots: Vec<Slot>,
    pub front_ends: Vec<FrontEnd>,
    outages: Vec<Outage>,
    outage: Option<(Instant, SubscriptionFault)>,
    starts: Vec<Start>,
    phases: Vec<watch::Sender<Phase>>,
    clients: Vec<FrontEndClient>,
    lateness: Lateness,
    pub peer_flood: Option<PeerFlood>,
    _host: RigHost,
}

/// Result of a run of the rig.
pub struct Verdict {
    pub broken: Vec<String>,
    /// Requests, each with whether it was served.
    pub requests: Vec<(SentRequest, bool)>,
    /// Number of requests that were answered after their client's time.
    pub late: usize,
    /// Number of probes of executors, from all front ends.
    pub probes: usize,
    /// Maximum scheduling delay of the emulated systems.
    pub lateness: Duration,
    /// Log lines of all front ends.
    pub logs: Vec<String>,
}

impl Verdict {
    /// Returns the fraction of the requests sent between two times that were served.
    pub fn served(&self, from: Instant, to: Instant) -> f64 {
        served_part(self.requests.iter().filter(|(request, _)| (from..to).contains(&request.at)))
    }

    /// Returns the fraction of all requests that were served.
    pub fn served_in_all(&self) -> f64 {
        served_part(self.requests.iter())
    }
}

impl Rig {
    /// Starts everything except clients. `environment` returns the environment variables for the process of a front end, given
    /// its number.
    pub async fn start(shape: Shape, environment: impl Fn(usize) -> Vec<(String, String)>) -> Rig {
        let host = RigHost::wait_for_free().await;
        HOST.set(host.number());
        let folder = tempfile::tempdir().unwrap();
        let mut slots = Vec::new();
        for index in 0..shape.executors {
            let executor = start_executor(&shape, index).await;
            slots.push(Slot {
                executor,
                earlier: Vec::new(),
                earlier_connections: 0,
                drained_at: None,
                ready_again: None,
                state: READY,
                started_ms: 0,
            });
        }
        let mut front_ends = Vec::new();
        for number in 0..shape.front_ends {
            front_ends.push(FrontEnd::new(number, folder.path(), environment(number)).await);
        }
        let phases = front_ends.iter().map(|_| watch::channel(Phase::Open).0).collect();
        let (outages, starts, clients) = (Vec::new(), Vec::new(), Vec::new());
        let mut rig = Rig {
            shape,
            _folder: folder,
            slots,
            front_ends,
            outages,
            outage: None,
            starts,
            phases,
            clients,
            lateness: Lateness::start(),
            peer_flood: shape.flooding_peer.map(|kind| PeerFlood::start(kind, address(FLOODING_PEER_PORT))),
            _host: host,
        };
        rig.set_bus_lateness(shape.bus_lateness);
        for number in 0..shape.front_ends {
            rig.write_initial_list(number);
            rig.start_front_end(number).await;
        }
        rig
    }

    fn write_initial_list(&self, number: usize) {
        let records: Vec<_> =
            self.slots.iter().map(|slot| slot.record(number, self.shape.capacity)).collect();
        self.front_ends[number].bus.known(&records);
    }

    /// Starts the process of a front end with the current endpoint list.
    pub async fn start_front_end(&mut self, number: usize) {
        let config = self.configuration(number);
        self.front_ends[number].start(config).await;
    }

    /// Makes a front end reload its configuration the given number of times in succession.
    pub fn reload(&self, number: usize, times: usize) {
        (0..times).for_each(|_| self.front_ends[number].signal(Signal::HUP));
    }

    /// Moves the bus of a front end and reloads the front end with the new address.
    pub async fn move_bus(&mut self, number: usize) {
        self.front_ends[number].move_bus().await;
        let config = self.configuration(number);
        self.front_ends[number].reload(config);
    }

    fn configuration(&self, number: usize) -> Value {
        let word = |state: u8| ["ready", "draining"][usize::from(state)];
        let listed = self.slots.iter().filter(|slot| slot.state != REMOVED);
        let entry = |slot: &Slot| {
            let mut entry = host(slot.executor.id, slot.executor.addresses[number], word(slot.state));
            entry["share"] = f64::from(self.shape.capacity).into();
            entry["born_ms"] = slot.started_ms.into();
            entry
        };
        let mut hosts: Vec<Value> = listed.map(entry).collect();
        let front_end = &self.front_ends[number];
        let mut bus = front_end.bus.address;
        match self.peer_flood.as_ref().map(|peer| (peer.kind, peer.address)) {
            Some((FloodingPeer::Executor, address)) => hosts.push(host(FLOODING_EXECUTOR, address, "ready")),
            Some((FloodingPeer::Bus, address)) => bus = address,
            None => {}
        }
        let mut config = document(hosts, bus, self.shape.limits.sockets);
        config["limits"]["memory_mb"] = self.shape.limits.memory_mb.into();
        let last = front_end.bus.last();
        config["known"]["offset"] = last.into();
        config["known"]["batch"][0]["offset"] = last.into();
        config["seed"] = format!("{:016x}", self.shape.seed.wrapping_mul(31) + number as u64).into();
        config["settings"]["limits"]["probes"] = self.shape.may_health_check.into();
        config["settings"]["balancers"] = self.shape.fleet_front_ends.into();
        let longest = self.shape.longest_deadline.as_millis() as f64;
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["hard_limit"] = longest.into();
            class["aim"] = (longest / 2.0).min(800.0).into();
        }
        config
    }

    /// Starts clients at every front end, which call functions that have a copy on every third executor.
    pub fn begin_traffic(&mut self, load: Load) {
        for (index, slot) in self.slots.iter().enumerate() {
            let held_functions =
                (0..load.functions).filter(|function| function % COPY_SPREAD == index as u64 % COPY_SPREAD);
            let keys: Vec<String> = held_functions.map(|function| format!("{function:016x}")).collect();
            slot.executor.holds(&keys.iter().map(String::as_str).collect::<Vec<_>>());
        }
        for front_end in &self.front_ends {
            for client in 0..load.clients {
                let phase = self.phases[front_end.number].subscribe();
                let number = front_end.number * load.clients + client;
                let asking = run_client(number, front_end.listen, load, self.shape.seed, phase);
                let ledger = tokio::spawn(asking);
                self.clients.push(FrontEndClient { front_end: front_end.number, ledger });
            }
        }
    }

    /// Begins or ends the flood of the peer that can send at full speed.
    pub fn set_peer_flooding(&self, is_flooding: bool) {
        self.peer_flood.iter().for_each(|peer| peer.set_flooding(is_flooding));
    }

    /// Sets the phase of the clients of a front end.
    pub fn set_phase(&self, number: usize, phase: Phase) {
        self.phases[number].send_replace(phase);
    }

    /// Begins an outage of discovery for every front end.
    pub fn begin_outage(&mut self, kind: SubscriptionFault) {
        self.outage = Some((Instant::now(), kind));
        self.front_ends.iter().for_each(|front_end| front_end.bus.mood(kind));
    }

    /// Ends the outage; the buses report the missed events in the given form.
    pub fn end_outage(&mut self, resumption: Resumption) {
        for front_end in &self.front_ends {
            front_end.bus.resume_with(resumption);
            front_end.bus.mood(SubscriptionFault::Well);
        }
        if let Some((began, kind)) = self.outage.take() {
            self.outages.push(Outage { began, ended: Instant::now(), kind });
        }
    }

    /// Makes everything late that the buses write from now on.
    pub fn set_bus_lateness(&self, lateness: BusLateness) {
        self.front_ends.iter().for_each(|front_end| front_end.bus.set_lateness(lateness));
    }

    /// Makes an executor drain without publishing the drain.
    pub fn begin_drain(&mut self, index: usize) {
        self.slots[index].executor.set_intake(Intake::Draining);
    }

    /// Publishes the drain of an executor to the buses.
    pub fn publish_drain(&mut self, index: usize) {
        self.publish_drains(index..index + 1);
    }

    /// Publishes the drains of several executors to the buses as one event.
    pub fn publish_drains(&mut self, indices: Range<usize>) {
        let now = Instant::now();
        self.slots[indices.clone()].iter_mut().for_each(|slot| slot.drained_at = Some(now));
        self.publish(indices, DRAINING);
    }

    /// Makes an executor hang or resume.
    pub fn set_hung(&mut self, index: usize, is_hung: bool) {
        let intake = if is_hung { Intake::Hung } else { Intake::Open };
        self.slots[index].executor.set_intake(intake);
    }

    /// Makes an executor stop listening without publishing it.
    pub fn vanish(&mut self, index: usize) {
        self.slots[index].executor.end();
    }

    /// Cuts off the machine of an executor without publishing it: connections to it are never established.
    pub fn cut_off(&mut self, index: usize) {
        self.slots[index].executor.cut_off();
    }

    /// Corrupts the next answers of an executor.
    pub fn spoil(&mut self, index: usize, faults: Vec<Fault>) {
        self.slots[index].executor.spoil(faults);
    }

    /// Makes an executor close its connections, as an executor does that has lost their state.
    pub fn close_connections(&self, index: usize) {
        self.slots[index].executor.close_connections();
    }

    /// Stops a drained executor and publishes its removal.
    pub fn remove(&mut self, index: usize) {
        self.remove_all(index..index + 1);
    }

    /// Stops several drained executors and publishes their removal as one event.
    pub fn remove_all(&mut self, indices: Range<usize>) {
        self.slots[indices.clone()].iter().for_each(|slot| slot.executor.end());
        self.publish(indices, REMOVED);
    }

    /// Restarts an executor at its addresses, without copies.
    pub async fn restart(&mut self, index: usize) {
        self.restart_all(index..index + 1).await;
    }

    /// Restarts several executors and publishes them as one event.
    pub async fn restart_all(&mut self, indices: Range<usize>) {
        for index in indices.clone() {
            self.start_new_process(index).await;
        }
        let now = Instant::now();
        for slot in &mut self.slots[indices.clone()] {
            slot.ready_again = Some(now);
            self.starts.push(Start { executor: slot.executor.id, at: now });
        }
        self.publish(indices, READY);
    }

    async fn start_new_process(&mut self, index: usize) {
        let mut executor = start_executor(&self.shape, index).await;
        std::mem::swap(&mut self.slots[index].executor, &mut executor);
        executor.end();
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let slot = &mut self.slots[index];
        slot.earlier.extend(executor.seen());
        slot.earlier_connections += executor.connections();
        slot.started_ms = now.as_millis() as u64;
    }

    /// Publishes the state of several executors to the buses as one event.
    fn publish(&mut self, indices: Range<usize>, state: u8) {
        let slots = &mut self.slots[indices];
        slots.iter_mut().for_each(|slot| slot.state = state);
        for front_end in &self.front_ends {
            let record = |slot: &Slot| slot.record(front_end.number, self.shape.capacity);
            front_end.bus.change(&slots.iter().map(record).collect::<Vec<_>>());
        }
    }

    /// Returns the number of connections that front ends have made to executors.
    pub fn executor_connections(&self) -> usize {
        self.slots.iter().map(|slot| slot.earlier_connections + slot.executor.connections()).sum()
    }

    /// Stops the clients after their last requests are answered or timed out, and judges the recorded traffic.
    pub async fn finish(mut self) -> Verdict {
        if let Some((began, kind)) = self.outage.take() {
            self.outages.push(Outage { began, ended: Instant::now(), kind });
        }
        self.phases.iter().for_each(|phase| {
            phase.send_replace(Phase::Over);
        });
        let mut ledgers: Vec<Ledger> = self.front_ends.iter().map(|_| Ledger::default()).collect();
        for client in std::mem::take(&mut self.clients) {
            let Ledger { requests, answers } = client.ledger.await.unwrap();
            let ledger = &mut ledgers[client.front_end];
            ledger.requests.extend(requests);
            ledger.answers.extend(answers);
        }
        let mut broken = Vec::new();
        for front_end in &mut self.front_ends {
            if front_end.has_crashed() {
                broken.push(format!("n{} crashed", front_end.number));
            }
        }
        let seen: Vec<_> = self.slots.iter().map(Slot::seen).collect();
        for (number, ledger) in ledgers.iter().enumerate() {
            let observed: Vec<_> = seen.iter().map(|(id, seen)| (*id, of_front_end(seen, number))).collect();
            let violations = judge(&ledger.requests, &ledger.answers, &observed, &self.rules(number));
            broken.extend(violations.into_iter().map(|text| format!("n{number}: {text}")));
        }
        broken.extend(self.slow_start().broken(&seen));
        let is_probe = |seen: &&ObservedRequest| {
            matches!(seen.what, stagehoist_emulator::platform::ExecutorRequest::Probe)
        };
        let probes = seen.iter().flat_map(|(_, seen)| seen).filter(is_probe).count();
        let late = ledgers.iter().map(late_answers).sum();
        let requests = ledgers.into_iter().flat_map(with_outcome).collect();
        let (lateness, logs) = (self.lateness.worst(), self.logs());
        if logs.iter().any(|line| line.contains("panicked")) {
            broken.push("a front end panicked".into());
        }
        Verdict { broken, requests, late, probes, lateness, logs }
    }

    /// Returns the settings of the rules for one front end. They differ between front ends, because each subscribes to its bus
    /// again at a different time.
    fn rules(&self, number: usize) -> RuleSettings {
        let asked = self.front_ends[number].bus.asked();
        let drains = self.slots.iter().filter_map(|slot| {
            let at = slot.drained_at?;
            Some((slot.executor.id, notified_at(at, &self.outages, &asked)))
        });
        let ready_again = self.slots.iter().filter_map(|slot| Some((slot.executor.id, slot.ready_again?)));
        RuleSettings {
            drained: drains.collect(),
            ready_again: ready_again.collect(),
            grace: GRACE,
            ration: LOAD_BUDGET,
            slow_start: None,
            answer_slack: Some(self.shape.answer_slack),
        }
    }

    /// Returns the limits on the requests that starting executors may get from all front ends together.
    fn slow_start(&self) -> SlowStart {
        let window = Duration::from_secs(1);
        SlowStart {
            starts: self.starts.clone(),
            start_capacity: 0.3,
            warm_up: Duration::from_secs(5),
            overload_factor: 2.0,
            window,
            full_capacity: f64::from(self.shape.capacity) * window.as_secs_f64()
                / self.shape.run.as_secs_f64(),
        }
    }

    fn logs(&self) -> Vec<String> {
        let lines = |front_end: &FrontEnd| {
            let logs = front_end.logs.iter().flat_map(|log| log.lock().unwrap().clone());
            logs.map(|line| format!("n{} {line}", front_end.number)).collect::<Vec<_>>()
        };
        self.front_ends.iter().flat_map(lines).collect()
    }
}

impl Slot {
    fn record(&self, front_end: usize, capacity: u32) -> Vec<u8> {
        let Executor { id, addresses, .. } = &self.executor;
        record_of_capacity(*id, addresses[front_end], self.state, self.started_ms, capacity)
    }

    fn seen(&self) -> (u32, Vec<ObservedRequest>) {
        let seen = self.earlier.iter().cloned().chain(self.executor.seen()).collect();
        (self.executor.id, seen)
    }
}

fn served_part<'a>(requests: impl Iterator<Item = &'a (SentRequest, bool)> + Clone) -> f64 {
    let served = requests.clone().filter(|(_, served)| *served).count();
    served as f64 / requests.count().max(1) as f64
}

async fn start_executor(shape: &Shape, index: usize) -> Executor {
    let (block, place) = (index / EXECUTORS_IN_BLOCK, index % EXECUTORS_IN_BLOCK);
    let port = |front_end: usize| EXECUTOR_PORT + place as u16 * MAX_FRONT_ENDS + front_end as u16;
    let of_front_end = |number| address_in_block(block as u8, port(number));
    let addresses: Vec<SocketAddr> = (0..shape.front_ends).map(of_front_end).collect();
    let executor = Executor::start_at(&addresses, index as u32 + 1, shape.run, shape.load).await.unwrap();
    executor.set_places(shape.places);
    executor.set_drops_expired(shape.drops_expired);
    executor
}

fn of_front_end(seen: &[ObservedRequest], number: usize) -> Vec<ObservedRequest> {
    seen.iter().filter(|seen| seen.front_end == number).cloned().collect()
}

/// Returns the number of requests that were answered after their client's time, or never.
fn late_answers(ledger: &Ledger) -> usize {
    let answered: BTreeMap<&str, Instant> =
        ledger.answers.iter().map(|answer| (&*answer.tag, answer.at)).collect();
    let is_late = |request: &&SentRequest| {
        let due = request.at + request.allow + SLACK;
        request.left.is_none() && answered.get(&*request.tag).is_none_or(|at| *at > due)
    };
    ledger.requests.iter().filter(is_late).count()
}

fn with_outcome(ledger: Ledger) -> Vec<(SentRequest, bool)> {
    let served: BTreeMap<&str, bool> =
        ledger.answers.iter().map(|answer| (&*answer.tag, answer.word == "200")).collect();
    let is_served = |request: &SentRequest| served.get(&*request.tag).copied().unwrap_or(false);
    let outcomes: Vec<bool> = ledger.requests.iter().map(is_served).collect();
    ledger.requests.into_iter().zip(outcomes).collect()
}
