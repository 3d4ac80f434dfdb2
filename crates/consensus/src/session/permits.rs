//! When a session reports for the sake of permits.

#[cfg(test)]
mod tests;

use super::{State, REPORT_GAP};
use crate::SessionReport;
use stagehoist_cluster_state::{Demand, Grant};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Longest time between two reports where there are pools: permits that are wanted elsewhere are given back no later.
const PERMIT_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between a report and one for calls that began to wait: under load they begin to all the time.
const WAITING_GAP: Duration = Duration::from_millis(20);

impl State {
    /// Longest time between two reports.
    pub(super) fn period(&self, lease: Duration) -> Duration {
        let most = if self.client.pools.is_empty() { Duration::MAX } else { PERMIT_REPORT_INTERVAL };
        (lease / 5).min(most)
    }

    /// A grant came.
    pub(super) fn on_grant(&mut self, grant: Grant) {
        let number = grant.number;
        let before = self.holder.status().permits.clone();
        self.holder.on_grant(grant);
        let standing = self.holder.status();
        let shrank = before.iter().any(|(of, n)| standing.permits.get(of).is_none_or(|now| now < n));
        if standing.permits_grant == number && shrank {
            self.released_grant = Some(number);
        }
        self.publish();
    }

    /// How soon after the last report this inputs goes out; None: with the next one.
    pub(super) fn report_delay(&mut self, report: &SessionReport) -> Option<Duration> {
        let last = &self.reported;
        // The leader allocates what was given back once it is informed that the smaller grant is applied.
        let gone_by = |n: u64| report.demand.iter().any(|d| d.applied >= n);
        let gave_back = self.released_grant.take_if(|n| gone_by(*n)).is_some();
        if gave_back || (last.confirmed, last.ready_capacity) != (report.confirmed, report.ready_capacity) {
            return Some(REPORT_GAP);
        }
        began(last.demand.iter().map(demand_key), report.demand.iter().map(demand_key))
    }
}

/// Whose demand it is, permits in use and calls that wait.
type DemandKey<K> = (K, u32, u32);

fn demand_key(d: &Demand) -> DemandKey<(&str, &str)> {
    ((&d.pool, &d.tenant), d.in_use, d.waiting)
}

/// How soon inputs of demand goes out: of one that began, or of one whose calls began to wait. Each is looked up once.
fn began<K: Hash + Eq>(
    last: impl Iterator<Item = DemandKey<K>>,
    now: impl Iterator<Item = DemandKey<K>>,
) -> Option<Duration> {
    let mut before = HashMap::new();
    for (whose, in_use, waiting) in last {
        before.entry(whose).or_insert((in_use, waiting));
    }
    let mut soon = None;
    for (whose, _, waiting) in now.filter(|(_, in_use, waiting)| in_use + waiting > 0) {
        let (was_in_use, was_waiting) = before.get(&whose).copied().unwrap_or_default();
        if was_in_use + was_waiting == 0 {
            return Some(REPORT_GAP);
        }
        if waiting > 0 && was_waiting == 0 {
            soon = Some(WAITING_GAP);
        }
    }
    soon
}
