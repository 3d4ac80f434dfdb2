//! Calls that wait, in turns by tenant.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Turns that are void before they are swept out.
const VOID_MOST: usize = 16;

/// Calls in order of their places, tenants in turn. Each step takes O(log n), sweeping apart, which each step
/// pays a part of.
#[derive(Debug, Default)]
pub(super) struct TenantQueue {
    /// A tenant's stamp tells its turn from those that it left before.
    tenants: HashMap<u32, (u64, BTreeMap<u64, u64>)>,
    turns: VecDeque<(u64, u32)>,
    calls: usize,
}

impl TenantQueue {
    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls
    }

    /// Adds a call of a tenant.
    pub fn push(&mut self, tenant: u32, place: u64, call: u64) {
        let turns = &mut self.turns;
        let (_, calls) = self.tenants.entry(tenant).or_insert_with(|| {
            turns.push_back((place, tenant));
            (place, BTreeMap::new())
        });
        calls.insert(place, call);
        self.calls += 1;
    }

    /// Takes the next call, tenants in turn.
    pub fn pop(&mut self) -> Option<u64> {
        loop {
            let (stamp, tenant) = self.turns.pop_front()?;
            let Some((_, calls)) = self.tenants.get_mut(&tenant).filter(|(s, _)| *s == stamp) else {
                continue;
            };
            let Some((_, call)) = calls.pop_first() else { continue };
            self.calls -= 1;
            if calls.is_empty() {
                self.tenants.remove(&tenant);
            } else {
                self.turns.push_back((stamp, tenant));
            }
            return Some(call);
        }
    }

    /// Removes a call wherever it waits.
    pub fn remove(&mut self, tenant: u32, place: u64) {
        let Some((_, calls)) = self.tenants.get_mut(&tenant) else { return };
        self.calls -= usize::from(calls.remove(&place).is_some());
        if calls.is_empty() {
            self.tenants.remove(&tenant);
        }
        if self.turns.len() > 2 * self.tenants.len() + VOID_MOST {
            let tenants = &self.tenants;
            self.turns.retain(|(stamp, tenant)| tenants.get(tenant).is_some_and(|(s, _)| s == stamp));
        }
    }
}
