//! Soak test of fleets of all sizes: front ends with a share of a core, and executors that are replaced in tenths of the fleet,
//! vanish, hang or send corrupt answers, in addition to the outages, signals, idle connections and machine faults of the
//! other soak test. To repeat a run:
//! `SOAK_FIRST=17 FLEET_SOAK_SEEDS=1 cargo test -p stagehoist-cli --test outages fleet_soak -- --nocapture`.

use crate::rig::{exclusive_lock, Shape};
use crate::soak::{draw_faults, draw_outages, draw_signals, number, run_seeds, Plan, PlannedEvent};
use crate::traffic::Load;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_emulator::platform::Fault;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Number of seeds that CI runs, and how many run concurrently.
const SEEDS: u64 = 8;
const CONCURRENCY: u64 = 4;
/// An answer this long after its deadline counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Executors per front end in a fleet of the usual size.
const USUAL_FLEET: usize = 12;
/// A front end with a smaller share of a core than this is not restarted, because its drain must also finish in time.
const MIN_SHARE_FOR_RESTART: f64 = 0.1;
/// At most one of this number of executors is cut off, and at most `MAX_CUT_OFF` in all.
const CUT_OFF_PART: usize = 20;
const MAX_CUT_OFF: usize = 20;
/// Faults injected into answers.
const FAULTS: [Fault; 12] = [
    Fault::Noise,
    Fault::Endless,
    Fault::WrongLength,
    Fault::Huge,
    Fault::CutOff,
    Fault::StopsShort,
    Fault::Never,
    Fault::Late,
    Fault::Twice,
    Fault::UnknownBefore,
    Fault::Reset,
    Fault::Error,
];

pub fn draw(seed: u64) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x6221_ae00_0000);
    let (executors, most) = [(3, 4), (12, 20), (12, 20), (100, 8), (100, 8), (800, 4), (800, 4), (3200, 1)]
        [random.random_range(0..8)];
    let front_ends = random.random_range(1..=most);
    let share = [1.0, 1.0, 1.0, 0.3, 0.1, 0.05, 0.03][random.random_range(0..7)];
    let longest = [600, 1200, 2000, 3000][random.random_range(0..4)] * MS;
    let shape = Shape {
        run: random.random_range(5..=40) * MS,
        load: random.random_range(20..=150) * MS,
        places: [0, 0, 8][random.random_range(0..3)],
        drops_expired: random.random_bool(0.5),
        longest_deadline: longest,
        fleet_front_ends: front_ends.max(executors / USUAL_FLEET),
        answer_slack: LOST_AFTER,
        ..Shape::usual(front_ends, executors, seed)
    };
    let load = Load {
        clients: random.random_range(1..=6),
        rate: random.random_range(20.0..60.0_f64).min(240.0 / front_ends as f64),
        functions: random.random_range(10..50),
        new_function_after: random.random_range(20..60),
        allow: longest,
        unsafe_part: random.random_range(0.0..0.5),
        cancelled_part: [0.0, 0.05, 0.1][random.random_range(0..3)],
        short_part: [0.0, 0.0, 0.1, 0.3][random.random_range(0..4)],
    };
    let faults = (0..front_ends).map(|number| draw_machine(seed, number, share, &mut random)).collect();
    let mut events = Vec::new();
    if random.random_bool(0.6) {
        draw_outages(&mut random, &mut events);
    }
    draw_replacements(executors, &mut random, &mut events);
    draw_bad_executors(executors, &mut random, &mut events);
    if share >= MIN_SHARE_FOR_RESTART {
        draw_signals(&shape, &mut random, &mut events);
    } else {
        let at = random.random_range(1500..9000) * MS;
        events.push((at, PlannedEvent::Reloaded(0, random.random_range(1..8))));
    }
    events.sort_by_key(|(at, _)| *at);
    Plan { shape, load, faults, events }
}

/// Draws the machine faults of a front end, and adds its share of a core.
fn draw_machine(seed: u64, number: usize, share: f64, random: &mut ChaCha8Rng) -> String {
    let faults = draw_faults(seed, number, random);
    if share < 1.0 {
        return [format!("share={share}"), faults].join(",");
    }
    faults
}

/// Draws replacements of tenths of the fleet: each drains, is removed and restarts. Successive replacements may overlap.
fn draw_replacements(executors: usize, random: &mut ChaCha8Rng, events: &mut Vec<(Duration, PlannedEvent)>) {
    let tenth = (executors / 10).max(1);
    let mut at = random.random_range(1000..2500);
    for number in 0..random.random_range(1..=4) {
        let indices = number * tenth..(number + 1) * tenth;
        if indices.end + 1 >= executors {
            return;
        }
        let removed = at + random.random_range(300..1500);
        let restarted = removed + random.random_range(100..1500);
        events.push((at * MS, PlannedEvent::SeveralDrain(indices.clone())));
        events.push((removed * MS, PlannedEvent::SeveralRemoved(indices.clone())));
        events.push((restarted * MS, PlannedEvent::SeveralRestarted(indices)));
        at += random.random_range(500..3000);
    }
}

/// Draws faults of executors in the second half of the list, which is never replaced.
fn draw_bad_executors(executors: usize, random: &mut ChaCha8Rng, events: &mut Vec<(Duration, PlannedEvent)>) {
    let first = executors / 2;
    for _ in 0..random.random_range(1..=6) {
        let (index, at) = (random.random_range(first..executors), random.random_range(1000..10_000));
        let spoilt = random.random_range(1..8);
        let faults = (0..spoilt).map(|_| FAULTS[random.random_range(0..FAULTS.len())]).collect();
        events.push((at * MS, PlannedEvent::Spoils(index, faults)));
    }
    for _ in 0..random.random_range(0..4) {
        let (index, at) = (random.random_range(first..executors), random.random_range(1000..11_000));
        events.push((at * MS, PlannedEvent::ClosesConnections(index)));
    }
    for index in first..first + random.random_range(0..=(executors / CUT_OFF_PART).min(MAX_CUT_OFF)) {
        events.push((random.random_range(1000..10_000) * MS, PlannedEvent::CutOff(index)));
    }
    let (index, at) = (executors - 1, random.random_range(1000..8000));
    if random.random_bool(0.3) {
        let loss =
            if random.random_bool(0.5) { PlannedEvent::Vanishes(index) } else { PlannedEvent::CutOff(index) };
        events.push((at * MS, loss));
    } else if random.random_bool(0.5) {
        events.push((at * MS, PlannedEvent::Hangs(index, true)));
        events.push(((at + random.random_range(300..3000)) * MS, PlannedEvent::Hangs(index, false)));
    }
}

#[test]
fn fleets_of_all_sizes_keep_every_rule_under_drawn_faults_and_shares_of_a_core() {
    let _lock = exclusive_lock();
    run_seeds("fleet-soak", number("FLEET_SOAK_SEEDS", SEEDS), number("SOAK_AT_ONCE", CONCURRENCY), draw);
}
