//! Who should have how many permits: reservations first, the rest max-min by demand, what nobody asks for ahead
//! of demand.

use crate::{Member, Reservation};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

type Wants<'a> = [(&'a Member, Option<&'a BTreeMap<String, u32>>)];

/// Permits each member should have in a pool; together no more than may be allocated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    /// By member: permits inside reservations, then the rest, by tenant.
    members: BTreeMap<Member, [BTreeMap<String, u32>; 2]>,
}

impl Targets {
    /// Computes the targets of all members in a pool of so many permits.
    pub fn reckon(permits: u32, reservations: &[Reservation], members: &Wants) -> Targets {
        let mut targets = Targets::default();
        let Some(most) = u32::try_from(members.len()).ok().filter(|n| *n > 0) else { return targets };
        let mut left = permits;
        let mut idle = Vec::new();
        let mut beyond: Vec<(&Member, &str, u32)> = Vec::new();
        let reserved = scaled(permits, reservations);
        for (reservation, permits) in reservations.iter().zip(reserved) {
            let wants: Vec<u32> = members.iter().map(|(_, w)| want(*w, &reservation.tenant)).collect();
            let parts = max_min(permits, &wants);
            for (((member, _), part), want) in members.iter().zip(&parts).zip(&wants) {
                targets.add(member, 0, &reservation.tenant, *part);
                beyond.push((member, &reservation.tenant, want - part));
            }
            let used: u32 = parts.iter().sum();
            left -= used;
            idle.push((reservation.tenant.as_str(), permits - used));
        }
        beyond.extend(members.iter().map(|(m, w)| (*m, "", want(*w, ""))));
        let wants: Vec<u32> = beyond.iter().map(|(_, _, want)| *want).collect();
        for ((member, tenant, _), part) in beyond.iter().zip(max_min(left, &wants)) {
            targets.add(member, 1, tenant, part);
            left -= part;
        }
        // Ahead of demand: what an owner may ask for, then the others' part, evenly; the first in order get
        // the odd ones.
        idle.push(("", u32::MAX));
        for (tenant, permits) in idle {
            let permits = permits.min(left);
            left -= permits;
            for (place, (member, _)) in (0..most).zip(members) {
                targets.add(member, 1, tenant, permits / most + u32::from(place < permits % most));
            }
        }
        targets
    }

    /// What a member is to get of so many that are left.
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
            let of = self.members.entry(member.clone()).or_default();
            *of[part].entry(tenant.to_owned()).or_default() += permits;
        }
    }
}

fn want(wants: Option<&BTreeMap<String, u32>>, tenant: &str) -> u32 {
    wants.and_then(|w| w.get(tenant)).copied().unwrap_or(0)
}

/// Reservations as they stand where fewer permits are left than were reserved: in proportion, rounded down.
fn scaled(permits: u32, reservations: &[Reservation]) -> Vec<u32> {
    let all: u64 = reservations.iter().map(|r| u64::from(r.permits)).sum();
    let part = |r: &Reservation| match all {
        all if all <= u64::from(permits) => r.permits,
        all => u32::try_from(u64::from(r.permits) * u64::from(permits) / all).unwrap_or(permits),
    };
    reservations.iter().map(part).collect()
}

/// Max-min shares: nobody gets more than it wants, and whoever gets less gets no less than any other, but for
/// one permit.
fn max_min(permits: u32, wants: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|i| wants[*i]);
    let mut parts = vec![0; wants.len()];
    let mut left = permits;
    for (done, i) in order.into_iter().enumerate() {
        let others = u32::try_from(wants.len() - done).unwrap_or(u32::MAX);
        // Rounded up, as the odd permits go to the first of those that want as much; the sum stays within what
        // is left.
        parts[i] = wants[i].min(left.div_ceil(others));
        left -= parts[i];
    }
    parts
}
