//! Calls that wait outside the module until their turn to be admitted. Each is looked at again at its time at the latest;
//! whoever lets them wait chooses that time within the caller's.

use super::super::{Arrival, FunctionProperties, Ticket};
use stagehoist::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One that waits.
pub(super) struct WaitingCall {
    /// The place in the order of arrival, kept when it goes on waiting.
    order: u64,
    until: Micros,
    /// Its `read` is set: what it waited is taken from its time.
    pub arrival: Arrival,
    pub properties: FunctionProperties,
}

/// Those that wait, in their order and by time. Bounded by the caller, with the calls inside.
#[derive(Default)]
pub(super) struct WaitingCalls {
    next: u64,
    calls: BTreeMap<u64, WaitingCall>,
    by_ticket: HashMap<Ticket, u64>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl WaitingCalls {
    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Lets a call wait until it is asked about again.
    pub fn insert(&mut self, until: Micros, arrival: Arrival, figures: FunctionProperties) {
        let order = self.next;
        self.next += 1;
        self.requeue(until, WaitingCall { order, until, arrival, properties: figures });
    }

    /// Lets one that was taken go on waiting, in its old place.
    pub fn requeue(&mut self, until: Micros, mut waiting: WaitingCall) {
        waiting.until = until;
        self.by_time.insert((until, waiting.order));
        self.by_ticket.insert(waiting.arrival.ticket, waiting.order);
        self.calls.insert(waiting.order, waiting);
    }

    /// When the next is to be asked about.
    pub fn due(&self) -> Option<Micros> {
        self.by_time.first().map(|t| t.0)
    }

    /// The caller left. Whether the call was here.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let order = self.by_ticket.get(&ticket).copied();
        order.and_then(|order| self.take(order)).is_some()
    }

    /// Takes those of which something holds, in the order of arrival.
    pub fn take_if(&mut self, which: impl Fn(&WaitingCall) -> bool) -> Vec<WaitingCall> {
        let found: Vec<u64> = self.calls.values().filter(|w| which(w)).map(|w| w.order).collect();
        found.into_iter().filter_map(|order| self.take(order)).collect()
    }

    /// Takes those whose time has come, in the order of arrival.
    pub fn take_due(&mut self, now: Micros) -> Vec<WaitingCall> {
        let mut due: Vec<u64> = self.by_time.iter().take_while(|t| t.0 <= now).map(|t| t.1).collect();
        due.sort_unstable();
        due.into_iter().filter_map(|order| self.take(order)).collect()
    }

    fn take(&mut self, order: u64) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&order)?;
        self.by_time.remove(&(waiting.until, order));
        self.by_ticket.remove(&waiting.arrival.ticket);
        Some(waiting)
    }
}
