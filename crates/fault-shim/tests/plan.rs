//! Tests that plans are parsed and that invalid ones are rejected.

use stagehoist_fault_shim::{Plan, PlanError};
use std::time::Duration;

#[test]
fn clock_steps_accumulate_from_their_times() {
    let plan: Plan = "seed=7,steps=1000:3600000;2000:-7000".parse().unwrap();
    let offset = |ms| plan.clock_offset(Duration::from_millis(ms));
    assert_eq!(offset(999), 0);
    assert_eq!(offset(1000), 3_600_000_000_000);
    assert_eq!(offset(2000), 3_593_000_000_000);
}

#[test]
fn the_error_for_an_invalid_plan_names_the_part() {
    for part in ["sockets", "sockets=many", "steps=1000", "noise=3"] {
        let error = PlanError { part: part.to_string() };
        assert_eq!(format!("seed=1,{part}").parse::<Plan>(), Err(error));
    }
}
