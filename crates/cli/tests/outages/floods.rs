//! Peers that send at full speed for some seconds beside ordinary clients: the ordinary requests are answered in time.

use crate::flood::{run_flood, Flood, FloodReport};
use crate::machine::shim_environment;
use crate::peer_flood::FloodingPeer;
use crate::rig::{exclusive_lock, ProcessLimits, Rig, Shape, Verdict};
use crate::soak::number;
use crate::threads::on_this_thread;
use crate::traffic::Load;
use crate::usage::Usage;
use std::time::{Duration, Instant};

/// An answer this long after its deadline counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Ordinary traffic before, during and after the flood.
const QUIET_BEFORE: Duration = Duration::from_millis(2000);
const FLOOD_LENGTH: Duration = Duration::from_millis(4000);
const QUIET_AFTER: Duration = Duration::from_millis(2000);
/// Maximum number of broken rules printed for a play.
const MAX_PRINTED: usize = 4;
/// Maximum fraction of the ordinary requests that are answered after their time.
const LATE_PART: f64 = 0.01;
/// Minimum fraction of the ordinary requests that are served beside unsound floods, at a whole core, relative to a play
/// without a flood.
const SERVED_BESIDE_UNSOUND: f64 = 0.85;
/// The same beside sound floods, at any share of a core.
const SERVED_BESIDE_SOUND: f64 = 0.5;

/// The ordinary traffic beside a flood.
pub const ORDINARY: Load = Load {
    clients: 6,
    rate: 60.0,
    functions: 30,
    new_function_after: 0,
    allow: Duration::from_millis(1200),
    unsafe_part: 0.3,
    cancelled_part: 0.0,
    short_part: 0.0,
};

/// Floods of requests that may become calls, or of much input and output that waits.
const SOUND_OR_LARGE: [Flood; 5] = [
    Flood::NewFunctions,
    Flood::NewConnections,
    Flood::UnfinishedBodies,
    Flood::ManyFields,
    Flood::UnreadHealth,
];

/// Parameters of a play.
#[derive(Clone, Copy, Debug)]
struct Play {
    /// None: a play without a flood, for comparison.
    flood: Option<Flood>,
    /// The peer that floods instead of clients.
    peer: Option<FloodingPeer>,
    connections: usize,
    /// Share of a core that the front end may use.
    share: f64,
    limits: ProcessLimits,
    seed: u64,
}

struct Outcome {
    play: Play,
    verdict: Verdict,
    served: f64,
    lost: usize,
    usage: Usage,
    report: FloodReport,
}

async fn run(play: Play) -> Outcome {
    let plan = if play.share < 1.0 { format!("share={}", play.share) } else { String::new() };
    let shape =
        Shape { answer_slack: LOST_AFTER, flooding_peer: play.peer, ..Shape::usual(1, 12, play.seed) };
    let mut rig = Rig::start(shape, |_| shim_environment(&plan)).await;
    rig.begin_traffic(ORDINARY);
    let start = Instant::now();
    tokio::time::sleep(QUIET_BEFORE).await;
    let (to, until) = (rig.front_ends[0].listen, Instant::now() + FLOOD_LENGTH);
    let flood =
        play.flood.map(|kind| std::thread::spawn(move || run_flood(kind, play.connections, to, until)));
    rig.set_peer_flooding(true);
    tokio::time::sleep(FLOOD_LENGTH).await;
    rig.set_peer_flooding(false);
    tokio::time::sleep(QUIET_AFTER).await;
    let usage = rig.front_ends[0].usage().unwrap_or_default();
    let end = Instant::now();
    let verdict = rig.finish().await;
    let report = flood.map(|flood| flood.join().unwrap()).unwrap_or_default();
    let served = verdict.served(start, end);
    let lost = verdict.broken.iter().filter(|broken| broken.starts_with("n0: 1:")).count();
    Outcome { play, verdict, served, lost, usage, report }
}

/// Performs the plays one after the other: a flood takes several cores of the machine.
fn run_all(plays: &[Play]) -> Vec<Outcome> {
    let _lock = exclusive_lock();
    let perform = |play: &Play| {
        let outcome = on_this_thread(run(*play));
        outcome.print();
        outcome
    };
    plays.iter().filter(|play| play.is_selected()).map(perform).collect()
}

impl Play {
    fn name(&self) -> String {
        let Play { flood, peer, connections, share, limits, seed } = self;
        let flood = match (flood, peer) {
            (Some(flood), _) => format!("{flood:?}"),
            (None, Some(peer)) => format!("{peer:?}"),
            (None, None) => "no flood".into(),
        };
        let ProcessLimits { memory_mb, sockets } = limits;
        format!("{flood}, {connections} connections, {share} of a core, {memory_mb} MB, {sockets} sockets, seed {seed}")
    }

    /// Whether the play is to be performed. For manual runs of some plays set `FLOOD_PLAYS` to a part of their names.
    fn is_selected(&self) -> bool {
        let part = std::env::var("FLOOD_PLAYS").unwrap_or_default();
        (self.flood.is_none() && self.peer.is_none()) || self.name().contains(&part)
    }
}

impl Outcome {
    fn name(&self) -> String {
        self.play.name()
    }

    fn print(&self) {
        println!(
            "{}: served {:.3} of {}, {} lost, {} late, {} KiB, {:.2} s of processor, {:?}, emulation late by {:?}",
            self.name(),
            self.served,
            self.verdict.requests.len(),
            self.lost,
            self.verdict.late,
            self.usage.peak_kib,
            self.usage.processor.as_secs_f64(),
            self.report,
            self.verdict.lateness,
        );
        if std::env::var_os("FLOOD_LOGS").is_some() {
            self.verdict.logs.iter().for_each(|line| println!("{line}"));
        }
    }

    /// Returns what must not have happened at any share of a core.
    fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> = self.verdict.broken.iter().take(MAX_PRINTED).cloned().collect();
        if self.verdict.late as f64 > LATE_PART * self.verdict.requests.len() as f64 {
            violations.push(format!("{} of {} late", self.verdict.late, self.verdict.requests.len()));
        }
        let max_kib = u64::from(self.play.limits.memory_mb) * 1_000_000 / 1024;
        if self.usage.peak_kib > max_kib {
            violations.push(format!("{} KiB, at most {max_kib}", self.usage.peak_kib));
        }
        if self.report.unanswered > 0 {
            violations.push(format!("{} flooding connections not answered", self.report.unanswered));
        }
        violations.iter().map(|text| format!("{}: {text}", self.name())).collect()
    }
}

/// The floods of a test, and what has to be served beside them.
struct Floods<'a> {
    kinds: &'a [Flood],
    peers: &'a [FloodingPeer],
    connections: &'a [usize],
    shares: &'a [f64],
    limits: ProcessLimits,
    /// Minimum fraction of the ordinary requests that are served, relative to a play without a flood.
    served_part: f64,
    /// The smallest share of a core at which so many have to be served.
    served_from_share: f64,
}

impl Default for Floods<'_> {
    /// No floods, and what has to be served beside sound ones.
    fn default() -> Self {
        Floods {
            kinds: &[],
            peers: &[],
            connections: &[],
            shares: &[],
            limits: ProcessLimits::default(),
            served_part: SERVED_BESIDE_SOUND,
            served_from_share: 0.0,
        }
    }
}

impl Floods<'_> {
    /// Returns the plays of a seed; the first one is without a flood. For longer manual runs set `FLOOD_ALL=1`.
    fn plays(&self, seed: u64) -> Vec<Play> {
        let is_long = std::env::var_os("FLOOD_ALL").is_some();
        let limits = self.limits;
        let connections = if is_long { &[6, 30, 300] } else { self.connections };
        let shares = if is_long { &[1.0, 0.25, 0.1] } else { self.shares };
        let play = |flood, peer, connections, share| Play { flood, peer, connections, share, limits, seed };
        let mut plays = vec![play(None, None, 0, 1.0)];
        for &flood in self.kinds {
            for &connections in connections {
                plays.extend(shares.iter().map(|share| play(Some(flood), None, connections, *share)));
            }
        }
        for &peer in self.peers {
            plays.extend(shares.iter().map(|share| play(None, Some(peer), 1, *share)));
        }
        plays
    }

    fn assert_harmless(&self) {
        let mut violations = Vec::new();
        for seed in 1..=number("FLOOD_SEEDS", 1) {
            let outcomes = run_all(&self.plays(seed));
            let least = self.served_part * outcomes[0].served;
            for outcome in &outcomes {
                violations.extend(outcome.violations());
                if outcome.play.share >= self.served_from_share && outcome.served < least {
                    let served = outcome.served;
                    violations.push(format!("{}: served {served:.3}, at least {least:.3}", outcome.name()));
                }
            }
        }
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Guards against a client whose socket never runs dry and that keeps the event loop to itself. For longer manual runs
/// set `FLOOD_SEEDS=5`.
#[test]
fn clients_that_flood_a_front_end_with_unsound_requests_delay_no_other_client() {
    let floods = Floods {
        kinds: &[Flood::Health, Flood::UnknownClasses, Flood::NoIdNoTime],
        connections: &[6, 300],
        shares: &[1.0, 0.25],
        served_part: SERVED_BESIDE_UNSOUND,
        served_from_share: 1.0,
        ..Floods::default()
    };
    floods.assert_harmless();
}

/// Guards against clients that take the loop by requests that may become calls, or by much input and output that waits.
#[test]
fn clients_that_flood_a_front_end_with_sound_or_large_requests_leave_half_to_others() {
    let floods = Floods { kinds: &SOUND_OR_LARGE, connections: &[300], shares: &[0.25], ..Floods::default() };
    floods.assert_harmless();
}

/// Guards against clients whose large requests are read in so many turns that they are not answered or closed in time.
#[test]
fn clients_that_stop_in_the_middle_of_large_requests_are_closed_in_time_with_a_tenth_of_a_core() {
    let floods = Floods {
        kinds: &[Flood::UnfinishedBodies],
        connections: &[300],
        shares: &[0.1],
        ..Floods::default()
    };
    floods.assert_harmless();
}

/// Guards against an executor or an event bus whose connection never runs dry.
#[test]
fn an_executor_or_event_bus_that_floods_a_front_end_delays_no_client() {
    let floods = Floods {
        peers: &[FloodingPeer::Executor, FloodingPeer::Bus],
        shares: &[1.0, 0.25],
        served_part: SERVED_BESIDE_UNSOUND,
        served_from_share: 1.0,
        ..Floods::default()
    };
    floods.assert_harmless();
}

/// Guards against clients that use up the memory: with the smallest limit of memory and the greatest of descriptors, all
/// of them in use.
#[test]
fn clients_that_hold_every_descriptor_of_a_front_end_do_not_use_up_its_memory() {
    let floods = Floods {
        kinds: &SOUND_OR_LARGE,
        connections: &[600],
        shares: &[1.0],
        limits: ProcessLimits { memory_mb: 32, sockets: 1024 },
        ..Floods::default()
    };
    floods.assert_harmless();
}
