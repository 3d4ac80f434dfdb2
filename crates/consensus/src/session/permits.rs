//! Timing of a session's reports, as far as permits require early ones.

#[cfg(test)]
mod tests;

use super::{SessionState, REPORT_GAP};
use crate::SessionReport;
use stagehoist_cluster_state::{Demand, Grant};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Maximum time between two reports if there are pools. It bounds how long this front end holds unneeded permits that
/// other front ends need.
const PERMIT_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between a report and one sent because calls began to wait. Under load calls begin to wait all
/// the time, so these reports are spaced wider.
const WAITING_GAP: Duration = Duration::from_millis(20);

impl SessionState {
    /// Maximum time between two reports.
    pub(super) fn period(&self, lease: Duration) -> Duration {
        let max_period = if self.client.pools.is_empty() { Duration::MAX } else { PERMIT_REPORT_INTERVAL };
        (lease / 5).min(max_period)
    }

    /// Applies a received grant.
    pub(super) fn on_grant(&mut self, grant: Grant) {
        let number = grant.number;
        let before = self.holder.status().permits.clone();
        self.holder.on_grant(grant);
        let status = self.holder.status();
        let shrank = before.iter().any(|(of, n)| status.permits.get(of).is_none_or(|now| now < n));
        if status.permits_grant == number && shrank {
            self.released_grant = Some(number);
        }
        self.publish();
    }

    /// How soon after the last report this one is sent; `None`: at the next regular time.
    pub(super) fn report_delay(&mut self, report: &SessionReport) -> Option<Duration> {
        let last = &self.reported;
        // The leader reallocates released permits once a report confirms that the smaller grant is applied.
        let is_confirmed = |n: u64| report.demand.iter().any(|d| d.applied >= n);
        let released = self.released_grant.take_if(|n| is_confirmed(*n)).is_some();
        if released || (last.confirmed, last.ready_capacity) != (report.confirmed, report.ready_capacity) {
            return Some(REPORT_GAP);
        }
        demand_delay(last.demand.iter().map(demand_key), report.demand.iter().map(demand_key))
    }
}

/// The owner (pool and tenant) of a demand, its permits in use and its waiting calls.
type DemandKey<K> = (K, u32, u32);

fn demand_key(d: &Demand) -> DemandKey<(&str, &str)> {
    ((&d.pool, &d.tenant), d.in_use, d.waiting)
}

/// How soon a report of changed demand is sent: for an owner whose demand began, or whose calls began to wait. Each
/// owner is looked up once.
fn demand_delay<K: Hash + Eq>(
    last: impl Iterator<Item = DemandKey<K>>,
    now: impl Iterator<Item = DemandKey<K>>,
) -> Option<Duration> {
    let mut before = HashMap::new();
    for (owner, in_use, waiting) in last {
        before.entry(owner).or_insert((in_use, waiting));
    }
    let mut delay = None;
    for (owner, _, waiting) in now.filter(|(_, in_use, waiting)| in_use + waiting > 0) {
        let (was_in_use, was_waiting) = before.get(&owner).copied().unwrap_or_default();
        if was_in_use + was_waiting == 0 {
            return Some(REPORT_GAP);
        }
        if waiting > 0 && was_waiting == 0 {
            delay = Some(WAITING_GAP);
        }
    }
    delay
}
