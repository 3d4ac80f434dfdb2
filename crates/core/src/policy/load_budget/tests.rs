//! The load budget in windows that move while orders are outstanding.

use super::*;

const S: Micros = 1_000_000;

fn settings(delay: Micros) -> Settings {
    Settings { load_window: 10 * S, load_free: 6.0, load_share: 0.1, load_delay: delay, ..Default::default() }
}

fn order(worker: WorkerId, now: Micros) -> LoadOrder {
    LoadOrder { worker, function: now as FunctionId }
}

/// Records as many orders as the budget allows, and returns their number.
fn record_all_allowed(budget: &mut LoadBudget, now: Micros, settings: &Settings) -> u64 {
    let mut recorded = 0;
    while budget.allows(now, settings) {
        budget.record_order(order(recorded as WorkerId, now), now, settings);
        recorded += 1;
    }
    recorded
}

#[test]
fn outstanding_orders_fit_a_budget_without_further_requests() {
    let (mut budget, settings) = (LoadBudget::default(), settings(10 * S));
    (0..200).for_each(|n| budget.record_request(n * S / 20));
    // The budget is 26 orders in all, but only six may be outstanding at a time, as no further request may arrive.
    assert_eq!(record_all_allowed(&mut budget, 10 * S, &settings), 6);
    (0..6).for_each(|n| budget.record_order_end(order(n, 10 * S), n == 0, 10 * S));
    // One order never arrived. The others arrived, and no request arrived since.
    assert_eq!(record_all_allowed(&mut budget, 10 * S, &settings), 1);
    (1..=40).for_each(|n| budget.record_request(10 * S + n * S / 20));
    assert_eq!(record_all_allowed(&mut budget, 12 * S, &settings), 4);
}

#[test]
fn without_a_delay_only_the_window_that_ends_now_counts() {
    let (mut budget, settings) = (LoadBudget::default(), settings(0));
    (1..=200).for_each(|n| budget.record_request(n * S / 20));
    assert_eq!(record_all_allowed(&mut budget, 10 * S, &settings), 25);
    budget.expire(30 * S, &settings);
    assert_eq!(
        (budget.arrivals.len(), budget.requests.len(), record_all_allowed(&mut budget, 30 * S, &settings)),
        (0, 0, 5)
    );
}

#[test]
fn the_limit_may_be_a_fraction_of_a_free_order_or_zero_or_absent() {
    let fraction = Settings { load_free: 0.5, ..settings(10 * S) };
    let mut budget = LoadBudget::default();
    assert_eq!(record_all_allowed(&mut budget, 0, &fraction), 0);
    (0..20).for_each(|n| budget.record_request(n));
    assert_eq!(record_all_allowed(&mut budget, S, &fraction), 1);
    let none = Settings { load_free: 0.0, load_share: 0.0, ..settings(10 * S) };
    assert_eq!(record_all_allowed(&mut LoadBudget::default(), 0, &none), 0);
    let no_limit = Settings { load_window: 0, ..settings(10 * S) };
    assert!(budget.allows(0, &no_limit));
}
