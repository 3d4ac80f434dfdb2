//! Tests of the budget of executors that start.

use super::*;

fn slow_start(at: Instant, full_capacity: f64) -> SlowStart {
    SlowStart {
        starts: vec![Start { executor: 1, at }],
        start_capacity: 0.25,
        warm_up: Duration::from_secs(5),
        overload_factor: 2.0,
        window: Duration::from_secs(1),
        full_capacity,
    }
}

#[test]
fn the_budget_is_that_of_the_terms_for_few_and_for_many_requests() {
    let t = Instant::now();
    // N = 2 * 0.25 * 8 = 4, and 2 * 8 = 16 at full capacity.
    let few = slow_start(t, 8.0);
    assert_eq!(few.budget(Duration::ZERO), 4.0 + 3.0 * 2.0 + 3.0);
    assert_eq!(few.budget(Duration::from_secs(9)), 16.0 + 3.0 * 4.0 + 3.0);
    // N = 2 * 0.25 * 200 = 100.
    assert_eq!(slow_start(t, 200.0).budget(Duration::ZERO), 100.0 + 2.0 * 10.0 + 2.0);
}

#[test]
fn a_burst_beyond_the_budget_of_one_that_starts_is_found_and_one_at_an_established_executor_is_not() {
    let t = Instant::now();
    let few = slow_start(t, 8.0);
    let run = || ExecutorRequest::Run {
        id: "".into(),
        class: "".into(),
        key: "".into(),
        body: vec![],
        wait: Duration::ZERO,
    };
    let burst = |count: usize, from: Duration| {
        let at = |n: usize| t + from + Duration::from_millis(n as u64);
        let seen = (0..count).map(|n| ObservedRequest { front_end: 0, at: at(n), what: run() }).collect();
        few.broken(&[(1, seen)]).len()
    };
    assert_eq!(burst(13, Duration::ZERO), 0);
    assert_eq!(burst(14, Duration::ZERO), 1);
    assert_eq!(burst(100, Duration::from_secs(5)), 0);
}
