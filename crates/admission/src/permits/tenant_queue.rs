//! Queue of waiting calls with round-robin order between tenants.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of void turns in excess of the tenants before they are removed.
const MAX_VOID_TURNS: usize = 16;

/// A tenant with waiting calls.
#[derive(Debug)]
struct WaitingTenant {
    /// Distinguishes the tenant's current turn from void earlier ones.
    stamp: u64,
    /// Calls by position.
    calls: BTreeMap<u64, u64>,
}

/// A tenant's turn in the rotation; void if the tenant meanwhile has another stamp, or no waiting calls.
#[derive(Clone, Copy, Debug)]
struct Turn {
    stamp: u64,
    tenant: u32,
}

/// Calls in order of their positions per tenant, tenants in round-robin order. Each operation takes O(log n), plus the
/// amortized cost of removing void turns.
#[derive(Debug, Default)]
pub(super) struct TenantQueue {
    tenants: HashMap<u32, WaitingTenant>,
    turns: VecDeque<Turn>,
    calls: usize,
}

impl TenantQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls
    }

    /// Enqueues a call of a tenant.
    pub fn push(&mut self, tenant: u32, position: u64, call: u64) {
        let turns = &mut self.turns;
        let waiting = self.tenants.entry(tenant).or_insert_with(|| {
            turns.push_back(Turn { stamp: position, tenant });
            WaitingTenant { stamp: position, calls: BTreeMap::new() }
        });
        waiting.calls.insert(position, call);
        self.calls += 1;
    }

    /// Dequeues the next call, tenants in round-robin order.
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

    /// Removes a call at any position of the queue.
    pub fn remove(&mut self, tenant: u32, position: u64) {
        let Some(waiting) = self.tenants.get_mut(&tenant) else { return };
        self.calls -= usize::from(waiting.calls.remove(&position).is_some());
        if waiting.calls.is_empty() {
            self.tenants.remove(&tenant);
        }
        if self.turns.len() > 2 * self.tenants.len() + MAX_VOID_TURNS {
            let tenants = &self.tenants;
            self.turns.retain(|turn| tenants.get(&turn.tenant).is_some_and(|t| t.stamp == turn.stamp));
        }
    }
}
