//! What the ledger has beside the verdict, and the pools that the checker is given.

use crate::day::{Fleet, Pool};
use crate::layout::GIVE_UP;
use stagehoist_checker::rules::PoolRule;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rounds of allocation in which lent permits come back, where no process fails.
const ROUNDS: Duration = Duration::from_millis(250);

/// The pools of a day as the checker is notified of them.
pub(super) fn pools(fleet: &Fleet) -> Vec<PoolRule> {
    let reserved = |pool: &str| {
        let own = fleet.reserves.iter().filter(|r| r.pool == pool);
        own.map(|r| (r.tenant.clone(), r.lanes)).collect()
    };
    // A tenant has the permits reserved for it at the latest when what was lent to a process that fails has come back: its lease
    // has run out then, and the longest run that it may have begun, with the drift.
    let lent = (fleet.view_lease + Duration::from_micros(GIVE_UP as u64)).mul_f64(1.01) + ROUNDS;
    let rule = |pool: &Pool| PoolRule {
        name: pool.name.clone(),
        functions: pool.functions.clone(),
        lanes: pool.permits,
        reservations: reserved(&pool.name),
        within: lent.as_micros() as i64,
    };
    fleet.pools.iter().filter(|_| !fleet.without_pools).map(rule).collect()
}

pub(super) fn percentiles(times: &[i64]) -> BTreeMap<String, f64> {
    let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new(3) else { return BTreeMap::new() };
    for time in times {
        // The histogram grows by itself; only a count overflow could fail.
        let _ = histogram.record((*time).max(1) as u64);
    }
    let of = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)]
        .into_iter()
        .map(|(name, q)| (name.to_string(), of(q)))
        .collect()
}
