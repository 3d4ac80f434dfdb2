//! Calls that wait, in turns by tenant.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Void turns kept at most before they are swept out.
const MAX_VOID_TURNS: usize = 16;

/// A tenant with calls that wait.
#[derive(Debug)]
struct WaitingTenant {
    /// Tells its turn from those that it left before.
    stamp: u64,
    /// Calls by place.
    calls: BTreeMap<u64, u64>,
}

/// A tenant's place in the rotation; void where the tenant has another stamp by now, or none.
#[derive(Clone, Copy, Debug)]
struct Turn {
    stamp: u64,
    tenant: u32,
}

/// Calls in order of their places, tenants in turn. Each step takes O(log n), sweeping apart, which each step
/// pays a part of.
#[derive(Debug, Default)]
pub(super) struct TenantQueue {
    tenants: HashMap<u32, WaitingTenant>,
    turns: VecDeque<Turn>,
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
        let waiting = self.tenants.entry(tenant).or_insert_with(|| {
            turns.push_back(Turn { stamp: place, tenant });
            WaitingTenant { stamp: place, calls: BTreeMap::new() }
        });
        waiting.calls.insert(place, call);
        self.calls += 1;
    }

    /// Takes the next call, tenants in turn.
    pub fn pop(&mut self) -> Option<u64> {
        loop {
            let turn = self.turns.pop_front()?;
            let waiting = self.tenants.get_mut(&turn.tenant).filter(|waiting| waiting.stamp == turn.stamp);
            let Some(waiting) = waiting else { continue };
            let Some((_, call)) = waiting.calls.pop_first() else { continue };
            self.calls -= 1;
            if waiting.calls.is_empty() {
                self.tenants.remove(&turn.tenant);
            } else {
                self.turns.push_back(turn);
            }
            return Some(call);
        }
    }

    /// Removes a call wherever it waits.
    pub fn remove(&mut self, tenant: u32, place: u64) {
        let Some(waiting) = self.tenants.get_mut(&tenant) else { return };
        self.calls -= usize::from(waiting.calls.remove(&place).is_some());
        if waiting.calls.is_empty() {
            self.tenants.remove(&tenant);
        }
        if self.turns.len() > 2 * self.tenants.len() + MAX_VOID_TURNS {
            let tenants = &self.tenants;
            self.turns.retain(|turn| tenants.get(&turn.tenant).is_some_and(|t| t.stamp == turn.stamp));
        }
    }
}
