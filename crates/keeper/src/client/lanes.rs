//! When a session reports for the sake of lanes.

use super::{State, REPORT_GAP};
use crate::Told;
use stagehoist_registry::{Demand, Grant};
use std::time::Duration;

/// Longest time between two reports where there are pools: lanes that are wanted elsewhere are given back no later.
const LANES_EVERY: Duration = Duration::from_millis(50);
/// Least time between a report and one for calls that began to wait: under load they begin to all the time.
const WAITING_GAP: Duration = Duration::from_millis(20);

impl State {
    /// Longest time between two reports.
    pub(super) fn period(&self, lease: Duration) -> Duration {
        let most = if self.client.pools.is_empty() { Duration::MAX } else { LANES_EVERY };
        (lease / 5).min(most)
    }

    /// A grant came.
    pub(super) fn granted(&mut self, grant: Grant) {
        let number = grant.number;
        let before = self.holder.standing().lanes.clone();
        self.holder.grant(grant);
        let standing = self.holder.standing();
        let shrank = before.iter().any(|(of, n)| standing.lanes.get(of).is_none_or(|now| now < n));
        if standing.lanes_of == number && shrank {
            self.shrunk = Some(number);
        }
        self.publish();
    }

    /// How soon after the last report this news goes out; None: with the next one.
    pub(super) fn urgent(&mut self, told: &Told) -> Option<Duration> {
        let last = &self.reported;
        // The leader deals what was given back once it is told that the smaller grant is gone by.
        let gone_by = |n: u64| told.demand.iter().any(|d| d.applied >= n);
        let gave_back = self.shrunk.take_if(|n| gone_by(*n)).is_some();
        if gave_back || (last.confirmed, last.ready_lanes) != (told.confirmed, told.ready_lanes) {
            return Some(REPORT_GAP);
        }
        let was = |d: &Demand| last.demand.iter().find(|l| (&l.pool, &l.tenant) == (&d.pool, &d.tenant));
        let rose = |d: &Demand| d.in_use + d.waiting > 0 && was(d).is_none_or(|l| l.in_use + l.waiting == 0);
        let waits = |d: &Demand| d.waiting > 0 && was(d).is_none_or(|l| l.waiting == 0);
        if told.demand.iter().any(rose) {
            return Some(REPORT_GAP);
        }
        told.demand.iter().any(waits).then_some(WAITING_GAP)
    }
}
