//! Tests of plans: what they say, and that one which means nothing is refused.

use stagehoist_fault_shim::{Plan, PlanError};
use std::time::Duration;

#[test]
fn steps_of_the_clock_add_up_from_their_times_on() {
    let plan: Plan = "seed=7,steps=1000:3600000;2000:-7000".parse().unwrap();
    let offset = |ms| plan.clock_offset(Duration::from_millis(ms));
    assert_eq!(offset(999), 0);
    assert_eq!(offset(1000), 3_600_000_000_000);
    assert_eq!(offset(2000), 3_593_000_000_000);
}

#[test]
fn a_plan_that_can_not_be_read_names_the_part() {
    for part in ["sockets", "sockets=many", "steps=1000", "noise=3"] {
        let error = PlanError { part: part.to_string() };
        assert_eq!(format!("seed=1,{part}").parse::<Plan>(), Err(error));
    }
}
