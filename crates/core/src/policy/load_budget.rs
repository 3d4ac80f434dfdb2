//! The budget of load orders (rule 5). Orders count when they arrive at the worker and not when they are sent, so it
//! tracks the orders whose arrival is not known yet, the orders that have arrived, and the requests that add to the
//! budget. State and arithmetic only; `loading` decides which loads are ordered.

use crate::interface::{FunctionId, Micros, Settings, WorkerId};
use std::collections::{BTreeSet, VecDeque};

#[cfg(test)]
mod tests;

/// A load order, identified by its worker and function.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    pub worker: WorkerId,
    pub function: FunctionId,
}

/// Orders and requests within the budget's window.
#[derive(Clone, Debug, Default)]
pub struct LoadBudget {
    /// Orders that were sent, and neither answered nor known never to arrive.
    outstanding: BTreeSet<LoadOrder>,
    /// Latest possible arrival times of the other orders, in ascending order.
    arrivals: VecDeque<Micros>,
    /// Times at which requests were accepted, in ascending order.
    requests: VecDeque<Micros>,
}

/// Limits of the orders in one window.
struct WindowLimit {
    /// Start of the window.
    from: Micros,
    /// Orders that are allowed regardless of the requests.
    min_orders: f64,
    /// Part of the budget that is left unused.
    margin: f64,
}

impl LoadBudget {
    /// Records a request that was accepted at this time and adds to the budget.
    pub fn record_request(&mut self, at: Micros) {
        let position = self.requests.partition_point(|accepted| *accepted <= at);
        self.requests.insert(position, at);
    }

    /// Records an order that is sent. If orders are not delayed, it arrives at once.
    pub fn record_order(&mut self, order: LoadOrder, now: Micros, settings: &Settings) {
        if settings.load_delay > 0 {
            self.outstanding.insert(order);
        } else {
            self.arrivals.push_back(now);
        }
    }

    /// Records that an order was answered or counts as lost. It has arrived by now, unless it is known never to arrive.
    pub fn record_order_end(&mut self, order: LoadOrder, never_arrived: bool, now: Micros) {
        if self.outstanding.remove(&order) && !never_arrived {
            self.arrivals.push_back(now);
        }
    }

    /// Whether an order is neither answered nor known never to arrive.
    pub fn is_outstanding(&self, order: LoadOrder) -> bool {
        self.outstanding.contains(&order)
    }

    /// Removes arrivals and requests that have left the window.
    pub fn expire(&mut self, now: Micros, settings: &Settings) {
        for times in [&mut self.arrivals, &mut self.requests] {
            while times.front().is_some_and(|&at| at <= now - settings.load_window.max(1)) {
                times.pop_front();
            }
        }
    }

    /// Whether the budget allows one more order. The budget must hold whenever this order and the outstanding ones
    /// arrive, up to the longest delay, and even if no further request arrives. Requests leave a moving window, so each
    /// window that begins at a known arrival is checked, and also the last window in which an order sent now can still
    /// arrive.
    pub fn allows(&self, now: Micros, settings: &Settings) -> bool {
        if settings.load_window <= 0 {
            return true;
        }
        let first = now - settings.load_window;
        let last = first + settings.load_delay.max(0);
        // The current window keeps a margin of one order, as requests may have arrived a little earlier than they were
        // observed. A later window always allows a single order: otherwise a fractional allowance of free orders
        // would never allow any.
        let current = WindowLimit { from: first, min_orders: settings.load_free.min(1.0), margin: 1.0 };
        let later = |from| WindowLimit { from, min_orders: 1.0, margin: 0.0 };
        let later_starts = self.arrivals.iter().copied().filter(|at| (first + 1..last).contains(at));
        self.fits(&current, settings)
            && later_starts.chain([last]).all(|from| from == first || self.fits(&later(from), settings))
    }

    fn fits(&self, window: &WindowLimit, settings: &Settings) -> bool {
        let requests = self.requests.len() - self.requests.partition_point(|at| *at <= window.from);
        let arrived = self.arrivals.len() - self.arrivals.partition_point(|at| *at < window.from);
        let orders = arrived + self.outstanding.len();
        let budget = settings.load_free + settings.load_share * requests as f64;
        orders as f64 + 1.0 <= (budget - window.margin).max(window.min_orders)
    }
}
