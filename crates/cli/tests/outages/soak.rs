//! Soak test whose parameters are all drawn from a seed: front ends and executors, outages of discovery, drains and restarts
//! around the outages, steps of wall clocks, failing system calls, series of signals, and many idle connections. The seed is
//! enough to repeat a run:
//! `SOAK_FIRST=17 SOAK_SEEDS=1 cargo test -p stagehoist-cli --test outages soak -- --nocapture`. In manual runs,
//! `SOAK_SEEDS` sets the number of seeds and `SOAK_AT_ONCE` how many run concurrently.

use crate::flood::{run_flood, Flood};
use crate::machine::shim_environment;
use crate::rig::{shared_lock, Rig, Shape, Verdict};
use crate::threads::on_this_thread;
use crate::traffic::{Load, Phase};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stagehoist_emulator::platform::bus::{Resumption, SubscriptionFault};
use stagehoist_emulator::platform::Fault;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const MS: Duration = Duration::from_millis(1);
/// Number of seeds that CI runs, and how many run concurrently.
const SEEDS: u64 = 12;
const CONCURRENCY: u64 = 4;
/// Duration of a run until its clients stop.
const LENGTH_MS: u64 = 12_000;
/// Delay from SIGTERM to SIGKILL in addition to the longest deadline, of which at most 3 s count.
const KILL_BEYOND: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after SIGTERM during which clients still open connections.
const STILL_CONNECTING: Duration = Duration::from_millis(300);
/// Maximum number of series of event-bus moves in a run.
const MAX_BUS_MOVES: usize = 4;
/// Duration of the traffic before a quiet period.
const BEFORE_QUIET: Duration = Duration::from_secs(2);
/// Maximum number of successive moves of a bus, and the maximum time between two of them.
const MAX_MOVES_IN_ROW: usize = 3;
const MAX_MOVE_INTERVAL_MS: u64 = 400;
/// Maximum number of executors that hang during a shutdown.
const MAX_HUNG_AT_SHUTDOWN: usize = 4;
/// Number of idle connections that a crowd opens.
const CROWD: usize = 150;
/// Maximum number of broken rules printed for a run.
const MAX_PRINTED: usize = 6;

/// An event in a run.
#[derive(Clone, Debug)]
pub enum PlannedEvent {
    OutageBegins(SubscriptionFault),
    OutageEnds(Resumption),
    DrainBegins(usize),
    DrainPublished(usize),
    Removed(usize),
    Restarted(usize),
    Hangs(usize, bool),
    ClosesConnections(usize),
    Terminated(usize),
    NoNewConnections(usize),
    Killed(usize),
    StartedAgain(usize),
    Reloaded(usize, usize),
    BusMoves(usize),
    CrowdComes(usize),
    CrowdLeaves,
    /// Several executors drain, and the endpoint list reports it immediately.
    SeveralDrain(Range<usize>),
    SeveralRemoved(Range<usize>),
    SeveralRestarted(Range<usize>),
    /// An executor stops listening, and the endpoint list does not report it.
    Vanishes(usize),
    /// Connections to an executor can no longer be established, and the endpoint list does not report it.
    CutOff(usize),
    /// The next answers of an executor are corrupted.
    Spoils(usize, Vec<Fault>),
    Flood(PlannedFlood),
}

/// Clients that send at full speed to one front end.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFlood {
    pub front_end: usize,
    pub kind: Flood,
    pub connections: usize,
    pub length: Duration,
}

/// The drawn parameters and events of a run.
pub struct Plan {
    pub shape: Shape,
    pub load: Load,
    /// Plan of the fault shim for each front end; empty if the shim is not preloaded.
    pub faults: Vec<String>,
    pub events: Vec<(Duration, PlannedEvent)>,
}

fn draw(seed: u64) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let front_ends = [1, 1, 2, 3, 3, 5, 8, 12, 20, 30][random.random_range(0..10)];
    let executors = random.random_range(6..=12);
    let longest = [300, 600, 1200, 2000, 3000][random.random_range(0..5)];
    // Small executors with long runs tolerate few requests while they start.
    let (capacity, longest_run) = [(8, 40), (8, 40), (2, 80), (1, 60)][random.random_range(0..4)];
    let shape = Shape {
        run: random.random_range(5..=longest_run) * MS,
        capacity,
        load: random.random_range(20..=150) * MS,
        places: [0, 0, 4, 8][random.random_range(0..4)],
        drops_expired: random.random_bool(0.5),
        longest_deadline: longest as u32 * MS,
        ..Shape::usual(front_ends, executors, seed)
    };
    let load = Load {
        clients: 1,
        rate: random.random_range(50.0..150.0) / front_ends as f64,
        functions: random.random_range(10..50),
        new_function_after: random.random_range(20..60),
        allow: longest as u32 * MS,
        unsafe_part: random.random_range(0.0..0.5),
        cancelled_part: [0.0, 0.05, 0.1][random.random_range(0..3)],
        short_part: [0.0, 0.0, 0.1, 0.3][random.random_range(0..4)],
    };
    let faults = (0..front_ends).map(|number| draw_faults(seed, number, &mut random)).collect();
    let mut events = Vec::new();
    draw_outages(&mut random, &mut events);
    draw_drains(executors, &mut random, &mut events);
    draw_signals(&shape, &mut random, &mut events);
    events.sort_by_key(|(at, _)| *at);
    Plan { shape, load, faults, events }
}

pub fn draw_faults(seed: u64, number: usize, random: &mut ChaCha8Rng) -> String {
    let mut plan = Vec::new();
    if random.random_bool(0.5) {
        plan.push(format!("seed={seed}{number},breaks=1,sockets={}", random.random_range(500..10_000)));
        plan.push(format!(
            "from={},to={}",
            random.random_range(500..4000),
            random.random_range(4000..11_000)
        ));
    }
    if random.random_bool(0.5) {
        let step = |random: &mut ChaCha8Rng| {
            let by = [-3_600_000, -7000, -2000, 2000, 7000, 3_600_000][random.random_range(0..6)];
            format!("{}:{by}", random.random_range(500..10_000))
        };
        plan.push(format!("steps={};{}", step(random), step(random)));
    }
    plan.join(",")
}

pub fn draw_outages(random: &mut ChaCha8Rng, events: &mut Vec<(Duration, PlannedEvent)>) {
    use SubscriptionFault::{Closing, Refusing, Silent, Unreachable};
    let mut at = random.random_range(1500..3000);
    for _ in 0..random.random_range(1..=2) {
        let kind = [Silent, Refusing, Closing, Unreachable][random.random_range(0..4)];
        let length = random.random_range(500..8000);
        let resumptions = [Resumption::Events, Resumption::WholeList, Resumption::SlowEvents];
        let resumption = resumptions[random.random_range(0..3)];
        events.push((at * MS, PlannedEvent::OutageBegins(kind)));
        events.push(((at + length) * MS, PlannedEvent::OutageEnds(resumption)));
        at += length + random.random_range(300..2500);
    }
}

fn draw_drains(executors: usize, random: &mut ChaCha8Rng, events: &mut Vec<(Duration, PlannedEvent)>) {
    for index in 0..random.random_range(1..=executors / 3) {
        let at = random.random_range(1000..9000);
        let published = at + random.random_range(0..1000);
        events.push((at * MS, PlannedEvent::DrainBegins(index)));
        events.push((published * MS, PlannedEvent::DrainPublished(index)));
        if random.random_bool(0.6) {
            let removed = published + random.random_range(500..3000);
            events.push((removed * MS, PlannedEvent::Removed(index)));
            if random.random_bool(0.8) {
                let restarted = removed + random.random_range(200..2000);
                events.push((restarted * MS, PlannedEvent::Restarted(index)));
            }
        }
    }
    for _ in 0..random.random_range(0..4) {
        let (index, at) = (random.random_range(0..executors), random.random_range(1000..11_000));
        events.push((at * MS, PlannedEvent::ClosesConnections(index)));
    }
    if random.random_bool(0.4) {
        let (index, at) = (executors - 1, random.random_range(1000..8000));
        events.push((at * MS, PlannedEvent::Hangs(index, true)));
        events.push(((at + random.random_range(300..3000)) * MS, PlannedEvent::Hangs(index, false)));
    }
}

pub fn draw_signals(shape: &Shape, random: &mut ChaCha8Rng, events: &mut Vec<(Duration, PlannedEvent)>) {
    let kill_after = shape.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_BEYOND;
    // Front ends that are not restarted. Only they get a new configuration, since a process that is ending or has just started
    // must not be reloaded.
    let mut lasting = Vec::new();
    for number in 0..shape.front_ends {
        if random.random_bool(0.3) {
            let at = random.random_range(1500..7000) * MS;
            events.push((at, PlannedEvent::Terminated(number)));
            events.push((at + STILL_CONNECTING, PlannedEvent::NoNewConnections(number)));
            events.push((at + kill_after, PlannedEvent::Killed(number)));
            let again = at + kill_after + random.random_range(1..300) * MS;
            events.push((again, PlannedEvent::StartedAgain(number)));
            if random.random_bool(0.3) {
                draw_hung_through(shape, at..at + kill_after, random, events);
            }
            continue;
        }
        lasting.push(number);
        if random.random_bool(0.3) {
            let at = random.random_range(1500..9000) * MS;
            events.push((at, PlannedEvent::Reloaded(number, random.random_range(1..8))));
        }
    }
    for _ in 0..random.random_range(0..=MAX_BUS_MOVES) {
        let Some(number) = lasting.choose(random) else { break };
        let mut at = random.random_range(1500..10_000);
        for _ in 0..random.random_range(1..=MAX_MOVES_IN_ROW) {
            events.push((Duration::from_millis(at), PlannedEvent::BusMoves(*number)));
            at += random.random_range(20..=MAX_MOVE_INTERVAL_MS);
        }
    }
    if random.random_bool(0.3) {
        let number = random.random_range(0..shape.front_ends);
        events.push((random.random_range(1000..6000) * MS, PlannedEvent::CrowdComes(number)));
        events.push((random.random_range(6000..11_000) * MS, PlannedEvent::CrowdLeaves));
    }
}

/// Draws executors that hang from shortly before the start of a time range until its end.
fn draw_hung_through(
    shape: &Shape,
    time: Range<Duration>,
    random: &mut ChaCha8Rng,
    events: &mut Vec<(Duration, PlannedEvent)>,
) {
    for _ in 0..random.random_range(1..=MAX_HUNG_AT_SHUTDOWN) {
        let index = random.random_range(shape.executors / 2..shape.executors);
        let before = random.random_range(0..500) * MS;
        events.push((time.start.saturating_sub(before), PlannedEvent::Hangs(index, true)));
        events.push((time.end, PlannedEvent::Hangs(index, false)));
    }
}

async fn run_plan(plan: Plan) -> (Plan, Verdict) {
    let environment = |number: usize| shim_environment(&plan.faults[number]);
    let mut rig = Rig::start(plan.shape, environment).await;
    rig.begin_traffic(plan.load);
    let quiet = Duration::from_secs(number("SOAK_QUIET_SECONDS", 0));
    if !quiet.is_zero() {
        pause_traffic(&mut rig, quiet).await;
    }
    let start = Instant::now();
    let mut crowd = Vec::new();
    for (at, event) in &plan.events {
        tokio::time::sleep_until((start + *at).into()).await;
        apply_event(&mut rig, event.clone(), &mut crowd).await;
    }
    tokio::time::sleep_until((start + LENGTH_MS as u32 * MS).into()).await;
    let verdict = rig.finish().await;
    (plan, verdict)
}

/// Lets the traffic run for a while, then pauses it for the quiet period.
async fn pause_traffic(rig: &mut Rig, quiet: Duration) {
    let set_phase =
        |rig: &Rig, phase| (0..rig.shape.front_ends).for_each(|number| rig.set_phase(number, phase));
    tokio::time::sleep(BEFORE_QUIET).await;
    set_phase(rig, Phase::Quiet);
    tokio::time::sleep(quiet).await;
    set_phase(rig, Phase::Open);
}

async fn apply_event(rig: &mut Rig, event: PlannedEvent, crowd: &mut Vec<TcpStream>) {
    match event {
        PlannedEvent::OutageBegins(kind) => rig.begin_outage(kind),
        PlannedEvent::OutageEnds(resumption) => rig.end_outage(resumption),
        PlannedEvent::DrainBegins(index) => rig.begin_drain(index),
        PlannedEvent::DrainPublished(index) => rig.publish_drain(index),
        PlannedEvent::Removed(index) => rig.remove(index),
        PlannedEvent::Restarted(index) => rig.restart(index).await,
        PlannedEvent::Hangs(index, is_hung) => rig.set_hung(index, is_hung),
        PlannedEvent::ClosesConnections(index) => rig.close_connections(index),
        PlannedEvent::Terminated(number) => rig.front_ends[number].signal(Signal::TERM),
        PlannedEvent::NoNewConnections(number) => rig.set_phase(number, Phase::OpenConnections),
        PlannedEvent::Killed(number) => rig.front_ends[number].end_by(Instant::now()).await,
        PlannedEvent::StartedAgain(number) => {
            rig.start_front_end(number).await;
            rig.set_phase(number, Phase::Open);
        }
        PlannedEvent::Reloaded(number, times) => rig.reload(number, times),
        PlannedEvent::BusMoves(number) => rig.move_bus(number).await,
        PlannedEvent::CrowdComes(number) => {
            for _ in 0..CROWD {
                crowd.extend(TcpStream::connect(rig.front_ends[number].listen).await);
            }
        }
        PlannedEvent::CrowdLeaves => crowd.clear(),
        PlannedEvent::SeveralDrain(indices) => {
            indices.clone().for_each(|index| rig.begin_drain(index));
            rig.publish_drains(indices);
        }
        PlannedEvent::SeveralRemoved(indices) => rig.remove_all(indices),
        PlannedEvent::SeveralRestarted(indices) => rig.restart_all(indices).await,
        PlannedEvent::Vanishes(index) => rig.vanish(index),
        PlannedEvent::CutOff(index) => rig.cut_off(index),
        PlannedEvent::Spoils(index, faults) => rig.spoil(index, faults),
        PlannedEvent::Flood(flood) => {
            let (to, until) = (rig.front_ends[flood.front_end].listen, Instant::now() + flood.length);
            // The flood ends by itself.
            std::thread::spawn(move || run_flood(flood.kind, flood.connections, to, until));
        }
    }
}

/// Runs the plan of one seed and returns the violations.
pub fn run(name: &str, seed: u64, plan: Plan) -> Vec<String> {
    let (plan, verdict) = on_this_thread(run_plan(plan));
    let served = verdict.served_in_all();
    let Shape { front_ends, executors, longest_deadline, run, capacity, .. } = plan.shape;
    println!(
        "{name}, seed {seed}: {front_ends} front ends, {executors} executors of {capacity}, runs of {run:?}, deadline \
         {longest_deadline:?}, {} requests, served \
         {served:.3}, {} probes, {} broken rules, emulation late by {:?}",
        verdict.requests.len(),
        verdict.probes,
        verdict.broken.len(),
        verdict.lateness
    );
    if verdict.broken.is_empty() {
        return Vec::new();
    }
    let log_file = std::env::temp_dir().join(format!("{name}-{seed}.log"));
    let events = plan.events.iter().map(|(at, event)| format!("{at:?} {event:?}"));
    let faults = plan.faults.iter().map(|faults| format!("faults {faults}"));
    let lines: Vec<String> = events.chain(faults).chain(verdict.broken.clone()).chain(verdict.logs).collect();
    std::fs::write(&log_file, lines.join("\n")).unwrap();
    let shown = verdict.broken.into_iter().take(MAX_PRINTED);
    shown.map(|text| format!("{name}, seed {seed} ({}): {text}", log_file.display())).collect()
}

pub fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}

#[test]
fn soak_of_outages_drains_restarts_and_faults_of_machines_keeps_every_rule() {
    let _lock = shared_lock();
    run_seeds("outage-soak", number("SOAK_SEEDS", SEEDS), number("SOAK_AT_ONCE", CONCURRENCY), draw);
}

/// Runs the plans of `seeds` seeds, at most `at_once` concurrently, and asserts that no rule was broken.
pub fn run_seeds(name: &str, seeds: u64, at_once: u64, draw: fn(u64) -> Plan) {
    let first = number("SOAK_FIRST", 1);
    let next = AtomicU64::new(first);
    let run_worker = || {
        let mut violations = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + seeds {
                return violations;
            }
            violations.extend(run(name, seed, draw(seed)));
        }
    };
    let violations: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(run_worker)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert!(violations.is_empty(), "{} rules broken; some of them: {violations:#?}", violations.len());
}
