//! A soak: everything is drawn from a seed, front ends and executors, outages of discovery, drains and restarts around
//! them, steps of wall clocks, system calls that fail, signals in series, crowds. A seed is enough to play a run again:
//! `SOAK_FIRST=17 SOAK_SEEDS=1 cargo test -p stagehoist-cli --test outages soak -- --nocapture`. By hand it runs for as many seeds as
//! `SOAK_SEEDS` says, `SOAK_AT_ONCE` of them at a time.

use crate::machine::shim_environment;
use crate::rig::{beside_others, Rig, Shape, Verdict};
use crate::traffic::{Load, Phase};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stagehoist_emulator::platform::bus::{Resumption, SubscriptionFault};
use stagehoist_emulator::platform::judge::SLACK;
use stagehoist_emulator::platform::Fault;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const MS: Duration = Duration::from_millis(1);
/// Seeds that CI plays, and how many at once.
const SEEDS: u64 = 12;
const AT_ONCE: u64 = 4;
/// How long a run lasts before its clients end.
const LENGTH_MS: u64 = 12_000;
/// What SIGKILL leaves beyond the longest deadline, which counts as 3 s at most.
const KILL_BEYOND: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// For so long after SIGTERM new connections come.
const STILL_CONNECTING: Duration = Duration::from_millis(300);
/// Moves of event buses in a run at most.
const MAX_BUS_MOVES: usize = 4;
/// Traffic before a quiet time.
const BEFORE_QUIET: Duration = Duration::from_secs(2);
/// Moves of a bus one after the other, and the longest time between two.
const MAX_MOVES_IN_ROW: usize = 3;
const MAX_MOVE_INTERVAL_MS: u64 = 400;
/// Executors that hang through a shutdown at most.
const MAX_HUNG_AT_SHUTDOWN: usize = 4;
/// Idle connections of a crowd.
const CROWD: usize = 150;
/// Broken rules shown of a run.
const MAX_SHOWN: usize = 6;

/// Something that happens in a run.
#[derive(Clone, Debug)]
pub enum Happening {
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
    /// Several executors drain, and the list tells at once.
    SeveralDrain(Range<usize>),
    SeveralRemoved(Range<usize>),
    SeveralRestarted(Range<usize>),
    /// Nobody listens at an executor's addresses any more, and the list does not tell.
    Vanishes(usize),
    /// Connections to an executor never come up any more, and the list does not tell.
    CutOff(usize),
    /// The next answers of an executor are spoilt.
    Spoils(usize, Vec<Fault>),
}

/// A run, as drawn.
pub struct Plan {
    pub shape: Shape,
    pub load: Load,
    /// For the fault shim, by front end; empty where it is not preloaded.
    pub faults: Vec<String>,
    pub happenings: Vec<(Duration, Happening)>,
}

fn draw(seed: u64) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let front_ends = [1, 1, 2, 3, 3, 5, 8, 12, 20, 30][random.random_range(0..10)];
    let executors = random.random_range(6..=12);
    let longest = [300, 600, 1200, 2000, 3000][random.random_range(0..5)];
    // Of small executors with long runs, those that start stand few requests.
    let (capacity, longest_run) = [(8, 40), (8, 40), (2, 80), (1, 60)][random.random_range(0..4)];
    let shape = Shape {
        front_ends,
        executors,
        run: random.random_range(5..=longest_run) * MS,
        capacity,
        load: random.random_range(20..=150) * MS,
        places: [0, 0, 4, 8][random.random_range(0..4)],
        drops_expired: random.random_bool(0.5),
        longest_deadline: longest as u32 * MS,
        fleet_front_ends: front_ends,
        answer_slack: SLACK,
        seed,
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
    let mut happenings = Vec::new();
    draw_outages(&mut random, &mut happenings);
    draw_drains(executors, &mut random, &mut happenings);
    draw_signals(&shape, &mut random, &mut happenings);
    happenings.sort_by_key(|(at, _)| *at);
    Plan { shape, load, faults, happenings }
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

pub fn draw_outages(random: &mut ChaCha8Rng, happenings: &mut Vec<(Duration, Happening)>) {
    use SubscriptionFault::{Closing, Refusing, Silent, Unreachable};
    let mut at = random.random_range(1500..3000);
    for _ in 0..random.random_range(1..=2) {
        let kind = [Silent, Refusing, Closing, Unreachable][random.random_range(0..4)];
        let length = random.random_range(500..8000);
        let resumptions = [Resumption::Events, Resumption::WholeList, Resumption::SlowEvents];
        let resumption = resumptions[random.random_range(0..3)];
        happenings.push((at * MS, Happening::OutageBegins(kind)));
        happenings.push(((at + length) * MS, Happening::OutageEnds(resumption)));
        at += length + random.random_range(300..2500);
    }
}

fn draw_drains(executors: usize, random: &mut ChaCha8Rng, happenings: &mut Vec<(Duration, Happening)>) {
    for index in 0..random.random_range(1..=executors / 3) {
        let at = random.random_range(1000..9000);
        let published = at + random.random_range(0..1000);
        happenings.push((at * MS, Happening::DrainBegins(index)));
        happenings.push((published * MS, Happening::DrainPublished(index)));
        if random.random_bool(0.6) {
            let removed = published + random.random_range(500..3000);
            happenings.push((removed * MS, Happening::Removed(index)));
            if random.random_bool(0.8) {
                let restarted = removed + random.random_range(200..2000);
                happenings.push((restarted * MS, Happening::Restarted(index)));
            }
        }
    }
    for _ in 0..random.random_range(0..4) {
        let (index, at) = (random.random_range(0..executors), random.random_range(1000..11_000));
        happenings.push((at * MS, Happening::ClosesConnections(index)));
    }
    if random.random_bool(0.4) {
        let (index, at) = (executors - 1, random.random_range(1000..8000));
        happenings.push((at * MS, Happening::Hangs(index, true)));
        happenings.push(((at + random.random_range(300..3000)) * MS, Happening::Hangs(index, false)));
    }
}

pub fn draw_signals(shape: &Shape, random: &mut ChaCha8Rng, happenings: &mut Vec<(Duration, Happening)>) {
    let kill_after = shape.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_BEYOND;
    // Those that go on: a new configuration comes to no process that ends or has just started.
    let mut lasting = Vec::new();
    for number in 0..shape.front_ends {
        if random.random_bool(0.3) {
            let at = random.random_range(1500..7000) * MS;
            happenings.push((at, Happening::Terminated(number)));
            happenings.push((at + STILL_CONNECTING, Happening::NoNewConnections(number)));
            happenings.push((at + kill_after, Happening::Killed(number)));
            let again = at + kill_after + random.random_range(1..300) * MS;
            happenings.push((again, Happening::StartedAgain(number)));
            if random.random_bool(0.3) {
                draw_hung_through(shape, at..at + kill_after, random, happenings);
            }
            continue;
        }
        lasting.push(number);
        if random.random_bool(0.3) {
            let at = random.random_range(1500..9000) * MS;
            happenings.push((at, Happening::Reloaded(number, random.random_range(1..8))));
        }
    }
    for _ in 0..random.random_range(0..=MAX_BUS_MOVES) {
        let Some(number) = lasting.choose(random) else { break };
        let mut at = random.random_range(1500..10_000);
        for _ in 0..random.random_range(1..=MAX_MOVES_IN_ROW) {
            happenings.push((Duration::from_millis(at), Happening::BusMoves(*number)));
            at += random.random_range(20..=MAX_MOVE_INTERVAL_MS);
        }
    }
    if random.random_bool(0.3) {
        let number = random.random_range(0..shape.front_ends);
        happenings.push((random.random_range(1000..6000) * MS, Happening::CrowdComes(number)));
        happenings.push((random.random_range(6000..11_000) * MS, Happening::CrowdLeaves));
    }
}

/// Some executors hang from before one moment to another.
fn draw_hung_through(
    shape: &Shape,
    time: Range<Duration>,
    random: &mut ChaCha8Rng,
    happenings: &mut Vec<(Duration, Happening)>,
) {
    for _ in 0..random.random_range(1..=MAX_HUNG_AT_SHUTDOWN) {
        let index = random.random_range(shape.executors / 2..shape.executors);
        let before = random.random_range(0..500) * MS;
        happenings.push((time.start.saturating_sub(before), Happening::Hangs(index, true)));
        happenings.push((time.end, Happening::Hangs(index, false)));
    }
}

async fn play(plan: Plan) -> (Plan, Verdict) {
    let environment = |number: usize| shim_environment(&plan.faults[number]);
    let mut rig = Rig::start(plan.shape, environment).await;
    rig.begin_traffic(plan.load);
    let quiet = Duration::from_secs(number("SOAK_QUIET_SECONDS", 0));
    if !quiet.is_zero() {
        be_quiet(&mut rig, quiet).await;
    }
    let start = Instant::now();
    let mut crowd = Vec::new();
    for (at, happening) in &plan.happenings {
        tokio::time::sleep_until((start + *at).into()).await;
        happen(&mut rig, happening.clone(), &mut crowd).await;
    }
    tokio::time::sleep_until((start + LENGTH_MS as u32 * MS).into()).await;
    let verdict = rig.finish().await;
    (plan, verdict)
}

/// After some traffic there is none for a while.
async fn be_quiet(rig: &mut Rig, quiet: Duration) {
    let set_phase =
        |rig: &Rig, phase| (0..rig.shape.front_ends).for_each(|number| rig.set_phase(number, phase));
    tokio::time::sleep(BEFORE_QUIET).await;
    set_phase(rig, Phase::Quiet);
    tokio::time::sleep(quiet).await;
    set_phase(rig, Phase::Open);
}

async fn happen(rig: &mut Rig, happening: Happening, crowd: &mut Vec<TcpStream>) {
    match happening {
        Happening::OutageBegins(kind) => rig.begin_outage(kind),
        Happening::OutageEnds(resumption) => rig.end_outage(resumption),
        Happening::DrainBegins(index) => rig.begin_drain(index),
        Happening::DrainPublished(index) => rig.publish_drain(index),
        Happening::Removed(index) => rig.remove(index),
        Happening::Restarted(index) => rig.restart(index).await,
        Happening::Hangs(index, is_hung) => rig.set_hung(index, is_hung),
        Happening::ClosesConnections(index) => rig.close_connections(index),
        Happening::Terminated(number) => rig.front_ends[number].signal(Signal::TERM),
        Happening::NoNewConnections(number) => rig.set_phase(number, Phase::OpenConnections),
        Happening::Killed(number) => rig.front_ends[number].end_by(Instant::now()).await,
        Happening::StartedAgain(number) => {
            rig.start_front_end(number).await;
            rig.set_phase(number, Phase::Open);
        }
        Happening::Reloaded(number, times) => rig.reload(number, times),
        Happening::BusMoves(number) => rig.move_bus(number).await,
        Happening::CrowdComes(number) => {
            for _ in 0..CROWD {
                crowd.extend(TcpStream::connect(rig.front_ends[number].listen).await);
            }
        }
        Happening::CrowdLeaves => crowd.clear(),
        Happening::SeveralDrain(indices) => {
            indices.clone().for_each(|index| rig.begin_drain(index));
            rig.publish_drains(indices);
        }
        Happening::SeveralRemoved(indices) => rig.remove_all(indices),
        Happening::SeveralRestarted(indices) => rig.restart_all(indices).await,
        Happening::Vanishes(index) => rig.vanish(index),
        Happening::CutOff(index) => rig.cut_off(index),
        Happening::Spoils(index, faults) => rig.spoil(index, faults),
    }
}

/// Plays the plan of one seed; gives what went wrong.
pub fn run(name: &str, seed: u64, plan: Plan) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (plan, verdict) = runtime.block_on(play(plan));
    let start = verdict.requests.first().map_or(Instant::now(), |(request, _)| request.at);
    let served = verdict.served(start, start + LENGTH_MS as u32 * MS * 2);
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
    let kept = std::env::temp_dir().join(format!("{name}-{seed}.log"));
    let happenings = plan.happenings.iter().map(|(at, happening)| format!("{at:?} {happening:?}"));
    let faults = plan.faults.iter().map(|faults| format!("faults {faults}"));
    let lines: Vec<String> =
        happenings.chain(faults).chain(verdict.broken.clone()).chain(verdict.logs).collect();
    std::fs::write(&kept, lines.join("\n")).unwrap();
    let shown = verdict.broken.into_iter().take(MAX_SHOWN);
    shown.map(|text| format!("{name}, seed {seed} ({}): {text}", kept.display())).collect()
}

pub fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable).map_or(usual, |text| text.parse().unwrap())
}

#[test]
fn soak_of_outages_drains_restarts_and_faults_of_machines_keeps_every_rule() {
    let _beside = beside_others();
    run_seeds("outage-soak", number("SOAK_SEEDS", SEEDS), number("SOAK_AT_ONCE", AT_ONCE), draw);
}

/// Plays the plans of so many seeds, some of them at once.
pub fn run_seeds(name: &str, seeds: u64, at_once: u64, draw: fn(u64) -> Plan) {
    let first = number("SOAK_FIRST", 1);
    let next = AtomicU64::new(first);
    let play_some = || {
        let mut wrong = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + seeds {
                return wrong;
            }
            wrong.extend(run(name, seed, draw(seed)));
        }
    };
    let wrong: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(play_some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert!(wrong.is_empty(), "{} rules broken, shown in part: {wrong:#?}", wrong.len());
}
