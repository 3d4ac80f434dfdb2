//! A reload and an orderly exit in the middle of a flood, for each kind of flood.

use crate::flood::Flood;
use crate::floods::ORDINARY;
use crate::rig::{exclusive_lock, Shape};
use crate::soak::{number, run_seeds, Plan, PlannedEvent, PlannedFlood};
use std::time::Duration;

/// Number of seeds that CI runs: one for each kind of flood. Further seeds repeat the kinds with the other shares of a core.
const SEEDS: u64 = Flood::ALL.len() as u64;
/// Number of seeds that run concurrently: a flood takes several cores of the machine.
const CONCURRENCY: u64 = 2;
/// Shares of a core that the front end may use.
const SHARES: [f64; 3] = [0.25, 1.0, 0.1];
/// Connections that flood.
const CONNECTIONS: usize = 150;
/// The executor that drains after the reload.
const DRAINED: usize = 0;
const FLOOD_AT: Duration = Duration::from_millis(1000);
const FLOOD_LENGTH: Duration = Duration::from_millis(7000);
/// The bus moves, and the front end reloads the configuration with the new address. The drain is told on the new bus only.
const RELOAD_AT: Duration = Duration::from_millis(2000);
const DRAIN_AT: Duration = Duration::from_millis(3000);
const TERM_AT: Duration = Duration::from_millis(5000);
/// Time after SIGTERM during which clients still open connections, and after which the process is killed.
const STILL_CONNECTING: Duration = Duration::from_millis(300);
const KILL_AFTER: Duration = Duration::from_millis(1900);
const RESTART_AFTER: Duration = Duration::from_millis(2000);

/// Returns the run of a seed.
fn plan(seed: u64) -> Plan {
    let index = seed as usize - 1;
    let (kind, round) = (Flood::ALL[index % Flood::ALL.len()], index / Flood::ALL.len());
    let share = SHARES[round % SHARES.len()];
    let flood = PlannedFlood { front_end: 0, kind, connections: CONNECTIONS, length: FLOOD_LENGTH };
    Plan {
        shape: Shape { longest_deadline: ORDINARY.allow, ..Shape::usual(1, 12, seed) },
        load: ORDINARY,
        faults: vec![format!("share={share}")],
        events: vec![
            (FLOOD_AT, PlannedEvent::Flood(flood)),
            (RELOAD_AT, PlannedEvent::BusMoves(0)),
            (DRAIN_AT, PlannedEvent::DrainBegins(DRAINED)),
            (DRAIN_AT, PlannedEvent::DrainPublished(DRAINED)),
            (TERM_AT, PlannedEvent::Terminated(0)),
            (TERM_AT + STILL_CONNECTING, PlannedEvent::NoNewConnections(0)),
            (TERM_AT + KILL_AFTER, PlannedEvent::Killed(0)),
            (TERM_AT + RESTART_AFTER, PlannedEvent::StartedAgain(0)),
        ],
    }
}

/// Guards against a flood that keeps a front end from its signals: a drain told on the bus of the new configuration is
/// kept, and every request that was taken is answered before the process is killed. For all shares of a core set
/// `FLOOD_SIGNAL_SEEDS=24`.
#[test]
fn a_reload_and_an_exit_in_the_middle_of_each_kind_of_flood_break_no_rule() {
    let _lock = exclusive_lock();
    run_seeds(
        "flood-signals",
        number("FLOOD_SIGNAL_SEEDS", SEEDS),
        number("SOAK_AT_ONCE", CONCURRENCY),
        plan,
    );
}
