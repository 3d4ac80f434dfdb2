//! Target permits of each member: reservations first, then max-min fair by demand. Permits without demand are distributed
//! in advance.

use crate::{Member, Reservation};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

type Wants<'a> = [(&'a Member, Option<&'a BTreeMap<String, u32>>)];

/// Target permits of each member in a pool. Their sum does not exceed the permits that may be allocated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    /// By member, two maps by tenant: permits within reservations, then all other permits.
    members: BTreeMap<Member, [BTreeMap<String, u32>; 2]>,
}

impl Targets {
    /// Computes the targets of all members in a pool with the given number of permits.
    pub fn compute(permits: u32, reservations: &[Reservation], members: &Wants) -> Targets {
        let mut targets = Targets::default();
        let Some(member_count) = u32::try_from(members.len()).ok().filter(|n| *n > 0) else { return targets };
        let mut left = permits;
        let mut idle = Vec::new();
        let mut unmet: Vec<(&Member, &str, u32)> = Vec::new();
        let reserved = scaled(permits, reservations);
        for (reservation, permits) in reservations.iter().zip(reserved) {
            let wants: Vec<u32> = members.iter().map(|(_, w)| want(*w, &reservation.tenant)).collect();
            let parts = max_min(permits, &wants);
            for (((member, _), part), want) in members.iter().zip(&parts).zip(&wants) {
                targets.add(member, 0, &reservation.tenant, *part);
                unmet.push((member, &reservation.tenant, want - part));
            }
            let used: u32 = parts.iter().sum();
            left -= used;
            idle.push((reservation.tenant.as_str(), permits - used));
        }
        unmet.extend(members.iter().map(|(m, w)| (*m, "", want(*w, ""))));
        let wants: Vec<u32> = unmet.iter().map(|(_, _, want)| *want).collect();
        for ((member, tenant, _), part) in unmet.iter().zip(max_min(left, &wants)) {
            targets.add(member, 1, tenant, part);
            left -= part;
        }
        // Distributes permits in advance of demand, evenly over members: first unused reservations, then all that remain.
        // The first members get the remainder.
        idle.push(("", u32::MAX));
        for (tenant, permits) in idle {
            let permits = permits.min(left);
            left -= permits;
            for (index, (member, _)) in (0..member_count).zip(members) {
                targets.add(
                    member,
                    1,
                    tenant,
                    permits / member_count + u32::from(index < permits % member_count),
                );
            }
        }
        targets
    }

    /// Returns the permits to grant a member, by tenant: its targets, as far as `left` permits suffice.
    pub fn of(&self, member: &Member, mut left: u32) -> BTreeMap<String, u32> {
        let mut permits = BTreeMap::new();
        for (tenant, n) in self.members.get(member).into_iter().flatten().flatten() {
            let n = left.min(*n);
            left -= n;
            if n > 0 {
                *permits.entry(tenant.clone()).or_default() += n;
            }
        }
        permits
    }

    fn add(&mut self, member: &Member, part: usize, tenant: &str, permits: u32) {
        if permits > 0 {
            let parts = self.members.entry(member.clone()).or_default();
            *parts[part].entry(tenant.to_owned()).or_default() += permits;
        }
    }
}

fn want(wants: Option<&BTreeMap<String, u32>>, tenant: &str) -> u32 {
    wants.and_then(|w| w.get(tenant)).copied().unwrap_or(0)
}

/// Returns the reserved permits of each reservation, scaled down proportionally (rounded down) if the pool has fewer permits
/// than are reserved.
fn scaled(permits: u32, reservations: &[Reservation]) -> Vec<u32> {
    let all: u64 = reservations.iter().map(|r| u64::from(r.permits)).sum();
    let part = |r: &Reservation| match all {
        all if all <= u64::from(permits) => r.permits,
        all => u32::try_from(u64::from(r.permits) * u64::from(permits) / all).unwrap_or(permits),
    };
    reservations.iter().map(part).collect()
}

/// Returns max-min fair shares: no share exceeds its demand, and a share below its demand is at most one permit smaller than
/// any other.
fn max_min(permits: u32, wants: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|i| wants[*i]);
    let mut parts = vec![0; wants.len()];
    let mut left = permits;
    for (done, i) in order.into_iter().enumerate() {
        let others = u32::try_from(wants.len() - done).unwrap_or(u32::MAX);
        // Rounded up: among equal demands the first ones get the remainder. The sum never exceeds the permits left.
        parts[i] = wants[i].min(left.div_ceil(others));
        left -= parts[i];
    }
    parts
}
