//! What became of each tenant's calls.

use super::percentiles;
use crate::day::Fleet;
use serde::Serialize;
use stagehoist_checker::story::Call;
use stagehoist_checker::Story;
use std::collections::BTreeMap;

/// Calls of one tenant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TenantShare {
    pub sent: u64,
    /// Served within the caller's patience, and within the shortest aim of any class.
    pub served: u64,
    pub soon: u64,
    pub refused: u64,
    pub failed: u64,
    /// Milliseconds from publish to answer, of served calls.
    pub latency_ms: BTreeMap<String, f64>,
    /// Milliseconds from the first delivery until as many of its calls ran at a time as permits are reserved for it.
    pub lanes_after_ms: Option<f64>,
}

/// The shortest aim of any class, in microseconds.
const SOON: i64 = 800_000;

/// By tenant; empty on a day without pools.
pub(super) fn tenants(story: &Story, fleet: &Fleet) -> BTreeMap<String, TenantShare> {
    let mut shares = BTreeMap::new();
    for calls in fleet.callers() {
        let own = || story.calls.values().filter(|c| c.tenant == calls.tenant);
        let reserved = fleet.reserves.iter().filter(|r| r.tenant == calls.tenant).map(|r| r.lanes).sum();
        shares.insert(calls.tenant.clone(), share(story, &own, reserved));
    }
    shares
}

fn share<'a, I: Iterator<Item = &'a Call>>(story: &Story, own: &dyn Fn() -> I, reserved: u32) -> TenantShare {
    let mut share = TenantShare::default();
    let mut times = Vec::new();
    for call in own() {
        share.sent += 1;
        let Some((at, outcome)) = call.answers.first() else { continue };
        match outcome.as_str() {
            "served" => {
                share.served += 1;
                share.soon += u64::from(at - call.published <= SOON);
                times.push(at - call.published);
            }
            "refused" => share.refused += 1,
            _ => share.failed += 1,
        }
    }
    share.latency_ms = percentiles(&times);
    let first = own().flat_map(|c| c.deliveries.first()).map(|d| d.at).min();
    let full = first.filter(|_| reserved > 0).zip(full(story, own, reserved));
    share.lanes_after_ms = full.map(|(first, full)| (full - first) as f64 / 1000.0);
    share
}

/// When so many calls ran at a time first.
fn full<'a, I: Iterator<Item = &'a Call>>(story: &Story, own: &dyn Fn() -> I, lanes: u32) -> Option<i64> {
    let mut changes = Vec::new();
    for call in own() {
        let attempts = || call.attempts.iter().map(|i| &story.attempts[*i]);
        let Some(began) = attempts().map(|a| a.asked).min() else { continue };
        changes.push((began, 1));
        changes.extend(attempts().map(|a| a.ended.unwrap_or(story.end)).max().map(|at| (at, -1)));
    }
    changes.sort_unstable();
    let mut running = 0;
    let reached = changes.into_iter().find(|(_, change)| {
        running += change;
        running >= i64::from(lanes)
    });
    reached.map(|r| r.0)
}
