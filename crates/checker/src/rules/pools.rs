//! Rule 7: reservations.
//!
//! A permit is one call at a time on workers. A call uses one from the first byte of an attempt until the front end's sockets
//! show that none of its attempts is out: the last byte of an answer, or the end of the connection, as a front end can't know
//! more of a worker. Attempts of a call from one front end use one permit together, from two front ends two.

use super::{ms, PoolRule, Rule, RuleSet, Tally, TRANSIT, WAKE};
use crate::capture::Micros;
use crate::story::{Attempt, Call, Delivery, Story};
use std::collections::BTreeMap;

/// The end of a connection is seen by its tap after the front end that ended it, later by what the machine was late just then.
const CLOSING: Micros = 100_000;
/// Calls of a tenant that come after a longer rest are a new surge.
const REST: Micros = 1_000_000;
/// The reason told with a refusal for want of permits.
const NO_PERMIT: &str = "no-lane";

/// What changes at a moment; ends come before beginnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    Ended,
    /// A call that waited for longer than the stated time waits no more.
    Left,
    Overdue,
    Began,
}

/// Permits used by a tenant, and its calls that wait for longer than the stated time.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    runs: usize,
    overdue: usize,
}

pub(super) fn reservations(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(7, "reservations");
    for pool in &charter.pools {
        let used = lanes(story, charter, pool, &mut tally);
        refusals(story, charter, pool, &used, &mut tally);
    }
    tally.0
}

/// When a run's end was known to its front end, at the latest.
fn ended(charter: &RuleSet, attempt: &Attempt) -> Option<Micros> {
    let at = attempt.ended?;
    let late = if attempt.broke { TRANSIT + charter.seen(at - CLOSING, at) } else { 0 };
    Some((at - late).max(attempt.asked))
}

/// From when until when a delivered call had waited for longer than the stated time without an attempt or an answer. Time in
/// which its front end was stopped does not count.
fn overdue(
    story: &Story,
    charter: &RuleSet,
    pool: &PoolRule,
    call: &Call,
    delivery: &Delivery,
) -> Option<(Micros, Micros)> {
    let (f, came) = (delivery.front_end, delivery.at);
    let asked =
        call.attempts.iter().map(|i| &story.attempts[*i]).filter(|a| a.front_end == f).map(|a| a.asked);
    let answered = call.replies.iter().filter(|r| r.front_end == f).map(|r| r.at);
    let left = asked.chain(answered).filter(|at| *at >= came).chain(delivery.lost).min().unwrap_or(story.end);
    let stopped = charter.frozen.iter().filter(|s| s.0 == f && s.1 < left && s.2 >= came);
    let ran = stopped.map(|s| s.2 + WAKE).max().unwrap_or(came).max(came);
    let from = ran + pool.within + TRANSIT + charter.seen(came, left);
    (from < left).then_some((from, left))
}

/// Checks each beginning against the pool; returns for each tenant with permits of its own how many it used from when.
fn lanes<'a>(
    story: &'a Story,
    charter: &RuleSet,
    pool: &'a PoolRule,
    tally: &mut Tally,
) -> BTreeMap<&'a str, Vec<(Micros, usize)>> {
    let mut changes: Vec<(Micros, Change, &str, (u32, &str))> = Vec::new();
    for (id, call) in story.calls.iter().filter(|(_, c)| pool.takes(&c.function)) {
        let tenant = call.tenant.as_str();
        for attempt in call.attempts.iter().map(|i| &story.attempts[*i]) {
            let run = (attempt.front_end, id.as_str());
            changes.push((attempt.asked, Change::Began, tenant, run));
            changes.extend(ended(charter, attempt).map(|at| (at, Change::Ended, tenant, run)));
        }
        for delivery in call.deliveries.iter().filter(|_| pool.reserved(tenant) > 0) {
            let Some((from, to)) = overdue(story, charter, pool, call, delivery) else { continue };
            changes.push((from, Change::Overdue, tenant, (delivery.front_end, id)));
            changes.push((to, Change::Left, tenant, (delivery.front_end, id)));
        }
    }
    changes.sort();
    let mut out: BTreeMap<(u32, &str), i64> = BTreeMap::new();
    let mut used: BTreeMap<&str, Use> = BTreeMap::new();
    let mut steps: BTreeMap<&str, Vec<(Micros, usize)>> = BTreeMap::new();
    for (at, change, tenant, run) in changes {
        let now = used.entry(tenant).or_default();
        match change {
            Change::Began | Change::Ended => {
                let attempts = out.entry(run).or_default();
                let before = *attempts > 0;
                // An attempt that was over as soon as it began ends first in this order; the sum is the same.
                *attempts += if change == Change::Began { 1 } else { -1 };
                now.runs = (now.runs + usize::from(*attempts > 0)).saturating_sub(usize::from(before));
                if pool.reserved(tenant) > 0 {
                    steps.entry(tenant).or_default().push((at, now.runs));
                }
            }
            Change::Overdue => now.overdue += 1,
            Change::Left => now.overdue = now.overdue.saturating_sub(1),
        }
        if matches!(change, Change::Began | Change::Overdue) {
            check(at, pool, &used, tally);
        }
    }
    steps
}

/// Runs of others exceed neither the pool nor the pool less the reservations in use: those of which a tenant uses permits, or
/// has calls that waited for longer than the stated time.
fn check(at: Micros, pool: &PoolRule, used: &BTreeMap<&str, Use>, tally: &mut Tally) {
    let runs: usize = used.values().map(|u| u.runs).sum();
    let all = pool.lanes as usize;
    tally.check(runs <= all, || format!("{}: {runs} lanes of {all} used at {} ms", pool.name, ms(at)));
    let inside = |t: &&str, u: &Use, more: usize| pool.reserved(t).min(u.runs + more);
    let own: usize = used.iter().map(|(t, u)| inside(t, u, 0)).sum();
    let claimed: usize = used.iter().map(|(t, u)| inside(t, u, u.overdue)).sum();
    let others = runs - own;
    tally.check(runs > all || others + claimed <= all, || {
        let name = &pool.name;
        format!(
            "{name}: {others} lanes lent or shared at {} ms though {claimed} reserved ones of {all} are in use or waited for",
            ms(at)
        )
    });
}

/// A tenant that uses fewer permits than are its own is not refused for want of permits once its surge is older than the stated time.
fn refusals(
    story: &Story,
    charter: &RuleSet,
    pool: &PoolRule,
    used: &BTreeMap<&str, Vec<(Micros, usize)>>,
    tally: &mut Tally,
) {
    let mut demand: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    let calls =
        || story.calls.iter().filter(|(_, c)| pool.takes(&c.function) && pool.reserved(&c.tenant) > 0);
    for (_, call) in calls() {
        demand.entry(&call.tenant).or_default().extend(call.deliveries.iter().map(|d| d.at));
    }
    demand.values_mut().for_each(|d| d.sort_unstable());
    for (id, call) in calls() {
        let tenant = call.tenant.as_str();
        let refused = call.replies.iter().filter(|r| r.outcome == "refused" && r.reason == NO_PERMIT);
        for reply in refused.filter(|r| charter.ran(r.front_end, r.at)) {
            let surge = surge(demand.get(tenant).map_or(&[][..], Vec::as_slice), reply.at);
            let (full, now) =
                below(used.get(tenant).map_or(&[][..], Vec::as_slice), pool.reserved(tenant), reply.at);
            let from = surge.max(full);
            let late = reply.at - from - TRANSIT - charter.seen(from, reply.at);
            tally.check(late <= pool.within, || {
                let (f, at, from) = (reply.front_end, ms(reply.at), ms(from));
                let own = pool.reserved(tenant);
                format!(
                    "{id}: front end {f} refused {tenant} for want of lanes at {at} ms, with {now} of its own {own} used \
                     and fewer since {from} ms"
                )
            });
        }
    }
}

/// When the surge of a moment began: deliveries without a rest between them.
fn surge(deliveries: &[Micros], at: Micros) -> Micros {
    let before = &deliveries[..deliveries.partition_point(|d| *d <= at)];
    let Some(last) = before.last() else { return at };
    let rest = before.windows(2).rposition(|pair| pair[1] - pair[0] > REST);
    rest.map_or(before.first().unwrap_or(last), |i| &before[i + 1]).to_owned()
}

/// Since when a tenant has used fewer permits than are its own (the moment itself where it does not), and how many it uses.
fn below(steps: &[(Micros, usize)], own: usize, at: Micros) -> (Micros, usize) {
    let before = &steps[..steps.partition_point(|s| s.0 <= at)];
    let now = before.last().map_or(0, |s| s.1);
    if now >= own {
        return (at, now);
    }
    let full = before.iter().rposition(|s| s.1 >= own);
    (full.map_or(Micros::MIN / 4, |i| before[i + 1].0), now)
}
