//! Machine faults under a front end, without an outage of discovery: transient failures and interruptions of system calls,
//! and a wall clock that steps. None of these indicates a fault of an executor, and none may make a call fail.

use crate::rig::{shared_lock, Rig, Shape, Verdict};
use crate::threads::on_this_thread;
use crate::traffic::Load;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Returns the environment variables that inject the planned faults into a process.
pub fn shim_environment(plan: &str) -> Vec<(String, String)> {
    if plan.is_empty() {
        return Vec::new();
    }
    let preload = shim().to_string_lossy().into_owned();
    vec![("LD_PRELOAD".into(), preload), ("FAULT_SHIM".into(), plan.into())]
}

/// Returns the path of the fault-shim library, which cargo builds into the folder of this test.
fn shim() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let library = test.parent().unwrap().join("libstagehoist_fault_shim.so");
    assert!(library.is_file(), "{} was not built", library.display());
    library
}

const LOAD: Load = Load {
    clients: 1,
    rate: 60.0,
    functions: 20,
    new_function_after: 0,
    allow: Duration::from_millis(1200),
    unsafe_part: 0.3,
    cancelled_part: 0.0,
    short_part: 0.0,
};

fn shape(seed: u64) -> Shape {
    Shape { run: 15 * MS, load: 40 * MS, ..Shape::usual(2, 6, seed) }
}

/// Runs the traffic for six seconds with these faults; one executor is restarted in the middle.
async fn run_with_faults(plan: &str, seed: u64) -> (Verdict, f64) {
    let mut rig = Rig::start(shape(seed), |_| shim_environment(plan)).await;
    rig.begin_traffic(LOAD);
    let start = Instant::now();
    tokio::time::sleep(2000 * MS).await;
    rig.begin_drain(0);
    rig.publish_drain(0);
    tokio::time::sleep(1000 * MS).await;
    rig.remove(0);
    rig.restart(0).await;
    tokio::time::sleep(3000 * MS).await;
    let verdict = rig.finish().await;
    let served = verdict.served(start + 500 * MS, start + 6000 * MS);
    (verdict, served)
}

fn assert_unaffected_by(plan: &str) {
    let (verdict, served) = on_this_thread(run_with_faults(plan, 1));
    let ejections: Vec<_> = verdict.logs.iter().filter(|line| line.contains("eject worker")).collect();
    println!("{plan}: served {served:.3} of {}, {} ejections", verdict.requests.len(), ejections.len());
    assert!(verdict.broken.is_empty(), "{plan}: {:#?}", verdict.broken);
    assert!(ejections.is_empty(), "{plan}: {ejections:#?}");
    assert!(served >= 0.99, "{plan}: served {served:.3}");
}

#[test]
fn calls_on_sockets_that_fail_for_a_moment_cost_no_call_and_eject_no_executor() {
    let _lock = shared_lock();
    assert_unaffected_by("seed=5,sockets=50000");
}

#[test]
fn a_wall_clock_that_steps_by_seconds_or_an_hour_both_ways_changes_nothing() {
    let _lock = shared_lock();
    assert_unaffected_by("steps=500:3600000;1500:-7200000;2900:7000;4000:-9000");
}
