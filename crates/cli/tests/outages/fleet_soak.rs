//! A soak of fleets of all sizes: front ends with a share of a core, executors that are replaced by tenths, vanish, hang and
//! spoil their answers, beside the outages, signals, crowds and faults of machines of the other soak. Played again by
//! `SOAK_FIRST=17 FLEET_SOAK_SEEDS=1 cargo test -p stagehoist-cli --test outages fleet_soak -- --nocapture`.

use crate::rig::{alone, Shape};
use crate::soak::{draw_faults, draw_outages, draw_signals, number, run_seeds, Happening, Plan};
use crate::traffic::Load;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_emulator::platform::Fault;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Seeds that CI plays, and how many at once.
const SEEDS: u64 = 8;
const AT_ONCE: u64 = 4;
/// An answer so long after its time is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Executors of the usual fleet, for one front end.
const USUAL_FLEET: usize = 12;
/// A front end with less of a core than this is not restarted: its drain has to end in time too.
const MIN_SHARE_FOR_RESTART: f64 = 0.1;
/// One of so many executors is cut off at most, and so many in all.
const CUT_OFF_PART: usize = 20;
const MAX_CUT_OFF: usize = 20;
/// What becomes of spoilt answers.
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

fn draw(seed: u64) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x6221_ae00_0000);
    let (executors, most) = [(3, 4), (12, 20), (12, 20), (100, 8), (100, 8), (800, 4), (800, 4), (3200, 1)]
        [random.random_range(0..8)];
    let front_ends = random.random_range(1..=most);
    let share = [1.0, 1.0, 1.0, 0.3, 0.1, 0.05, 0.03][random.random_range(0..7)];
    let longest = [600, 1200, 2000, 3000][random.random_range(0..4)] * MS;
    let shape = Shape {
        front_ends,
        executors,
        run: random.random_range(5..=40) * MS,
        capacity: 8,
        load: random.random_range(20..=150) * MS,
        places: [0, 0, 8][random.random_range(0..3)],
        drops_expired: random.random_bool(0.5),
        longest_deadline: longest,
        fleet_front_ends: front_ends.max(executors / USUAL_FLEET),
        answer_slack: LOST_AFTER,
        seed,
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
    let mut happenings = Vec::new();
    if random.random_bool(0.6) {
        draw_outages(&mut random, &mut happenings);
    }
    draw_replacements(executors, &mut random, &mut happenings);
    draw_bad_executors(executors, &mut random, &mut happenings);
    if share >= MIN_SHARE_FOR_RESTART {
        draw_signals(&shape, &mut random, &mut happenings);
    } else {
        let at = random.random_range(1500..9000) * MS;
        happenings.push((at, Happening::Reloaded(0, random.random_range(1..8))));
    }
    happenings.sort_by_key(|(at, _)| *at);
    Plan { shape, load, faults, happenings }
}

/// Faults of the machine of a front end, and its share of a core.
fn draw_machine(seed: u64, number: usize, share: f64, random: &mut ChaCha8Rng) -> String {
    let faults = draw_faults(seed, number, random);
    if share < 1.0 {
        return [format!("share={share}"), faults].join(",");
    }
    faults
}

/// Tenths of the fleet drain, go and start anew, one after the other; some overlap.
fn draw_replacements(executors: usize, random: &mut ChaCha8Rng, happenings: &mut Vec<(Duration, Happening)>) {
    let tenth = (executors / 10).max(1);
    let mut at = random.random_range(1000..2500);
    for number in 0..random.random_range(1..=4) {
        let indices = number * tenth..(number + 1) * tenth;
        if indices.end + 1 >= executors {
            return;
        }
        let removed = at + random.random_range(300..1500);
        let restarted = removed + random.random_range(100..1500);
        happenings.push((at * MS, Happening::SeveralDrain(indices.clone())));
        happenings.push((removed * MS, Happening::SeveralRemoved(indices.clone())));
        happenings.push((restarted * MS, Happening::SeveralRestarted(indices)));
        at += random.random_range(500..3000);
    }
}

/// Executors at the end of the list, which is never replaced, that misbehave.
fn draw_bad_executors(
    executors: usize,
    random: &mut ChaCha8Rng,
    happenings: &mut Vec<(Duration, Happening)>,
) {
    let first = executors / 2;
    for _ in 0..random.random_range(1..=6) {
        let (index, at) = (random.random_range(first..executors), random.random_range(1000..10_000));
        let spoilt = random.random_range(1..8);
        let faults = (0..spoilt).map(|_| FAULTS[random.random_range(0..FAULTS.len())]).collect();
        happenings.push((at * MS, Happening::Spoils(index, faults)));
    }
    for _ in 0..random.random_range(0..4) {
        let (index, at) = (random.random_range(first..executors), random.random_range(1000..11_000));
        happenings.push((at * MS, Happening::ClosesConnections(index)));
    }
    for index in first..first + random.random_range(0..=(executors / CUT_OFF_PART).min(MAX_CUT_OFF)) {
        happenings.push((random.random_range(1000..10_000) * MS, Happening::CutOff(index)));
    }
    let (index, at) = (executors - 1, random.random_range(1000..8000));
    if random.random_bool(0.3) {
        let gone =
            if random.random_bool(0.5) { Happening::Vanishes(index) } else { Happening::CutOff(index) };
        happenings.push((at * MS, gone));
    } else if random.random_bool(0.5) {
        happenings.push((at * MS, Happening::Hangs(index, true)));
        happenings.push(((at + random.random_range(300..3000)) * MS, Happening::Hangs(index, false)));
    }
}

#[test]
fn fleets_of_all_sizes_keep_every_rule_under_drawn_faults_and_shares_of_a_core() {
    let _alone = alone();
    run_seeds("fleet-soak", number("FLEET_SOAK_SEEDS", SEEDS), number("SOAK_AT_ONCE", AT_ONCE), draw);
}
