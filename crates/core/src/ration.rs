//! The ration of orders to load (rule 5) at the moment that counts, which is when an order arrives and not when it is given:
//! orders whose arrival is not known yet, those that have arrived, and the calls that count as taken. State and arithmetic;
//! what is ordered the module decides.

use crate::interface::{FunctionId, Micros, Settings, WorkerId};
use std::collections::{BTreeSet, VecDeque};

/// Orders and calls of a window.
#[derive(Clone, Debug, Default)]
pub struct Ration {
    /// Given, and neither answered nor known never to arrive.
    out: BTreeSet<(WorkerId, FunctionId)>,
    /// When the others had arrived at the latest, in order of time.
    arrived: VecDeque<Micros>,
    /// When calls were taken, in order of time.
    calls: VecDeque<Micros>,
}

impl Ration {
    /// A call was taken then, and counts.
    pub fn took(&mut self, at: Micros) {
        let place = self.calls.partition_point(|t| *t <= at);
        self.calls.insert(place, at);
    }

    /// An order is given. Where none can be late it arrives at once.
    pub fn gave(&mut self, order: (WorkerId, FunctionId), now: Micros, s: &Settings) {
        if s.order_delay > 0 {
            self.out.insert(order);
        } else {
            self.arrived.push_back(now);
        }
    }

    /// An order was answered or counts as lost: it arrived by now, if it is not known never to arrive.
    pub fn ended(&mut self, order: (WorkerId, FunctionId), never: bool, now: Micros) {
        if self.out.remove(&order) && !never {
            self.arrived.push_back(now);
        }
    }

    pub fn is_out(&self, order: (WorkerId, FunctionId)) -> bool {
        self.out.contains(&order)
    }

    /// Forgets what no window reaches any more.
    pub fn forget(&mut self, now: Micros, s: &Settings) {
        for list in [&mut self.arrived, &mut self.calls] {
            while list.front().is_some_and(|&t| t <= now - s.load_window.max(1)) {
                list.pop_front();
            }
        }
    }

    /// Whether one more order is inside the ration whenever it and those that are out arrive, up to the longest delay,
    /// though no further call should come. As windows move on calls leave them, so each that begins at a known arrival is
    /// looked at, and the last that an order given now can still end.
    pub fn allows(&self, now: Micros, s: &Settings) -> bool {
        let (first, last) = (now - s.load_window, now - s.load_window + s.order_delay.max(0));
        if s.load_window <= 0 {
            return true;
        }
        let within = |from: Micros, least: f64, margin: f64| {
            let calls = self.calls.len() - self.calls.partition_point(|t| *t <= from);
            let orders = self.arrived.len() - self.arrived.partition_point(|t| *t < from) + self.out.len();
            let ration = s.load_free + s.load_share * calls as f64;
            orders as f64 + 1.0 <= (ration - margin).max(least)
        };
        // One order of margin now, as calls may have come a little earlier than they were seen. Later one order alone is
        // always allowed, else a part of an order told as free would mean none for ever.
        let late = self.arrived.iter().copied().filter(|t| (first + 1..last).contains(t));
        within(first, s.load_free.min(1.0), 1.0)
            && late.chain([last]).all(|t| t == first || within(t, 1.0, 0.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn settings(delay: Micros) -> Settings {
        let (load_window, load_free, load_share) = (10 * S, 6.0, 0.1);
        Settings { load_window, load_free, load_share, order_delay: delay, ..Default::default() }
    }

    fn give(r: &mut Ration, now: Micros, s: &Settings) -> u64 {
        let mut n = 0;
        while r.allows(now, s) {
            r.gave((n as WorkerId, now as u64), now, s);
            n += 1;
        }
        n
    }

    #[test]
    fn what_is_out_fits_what_needs_no_calls() {
        let (mut r, s) = (Ration::default(), settings(10 * S));
        (0..200).for_each(|n| r.took(n * S / 20));
        // 26 in all, but only six at a time may be on their way, as no further call may come.
        assert_eq!(give(&mut r, 10 * S, &s), 6);
        (0..6).for_each(|n| r.ended((n, 10 * S as u64), n == 0, 10 * S));
        // One never arrived. The others did, and no call came since.
        assert_eq!(give(&mut r, 10 * S, &s), 1);
        (1..=40).for_each(|n| r.took(10 * S + n * S / 20));
        assert_eq!(give(&mut r, 12 * S, &s), 4);
    }

    #[test]
    fn where_no_order_is_late_the_window_that_ends_now_is_all() {
        let (mut r, s) = (Ration::default(), settings(0));
        (1..=200).for_each(|n| r.took(n * S / 20));
        assert_eq!(give(&mut r, 10 * S, &s), 25);
        r.forget(30 * S, &s);
        assert_eq!((r.arrived.len(), r.calls.len(), give(&mut r, 30 * S, &s)), (0, 0, 5));
    }

    #[test]
    fn few_or_none_told() {
        let s = Settings { load_free: 0.5, ..settings(10 * S) };
        let mut r = Ration::default();
        assert_eq!(give(&mut r, 0, &s), 0);
        (0..20).for_each(|n| r.took(n));
        assert_eq!(give(&mut r, S, &s), 1);
        let none = Settings { load_free: 0.0, load_share: 0.0, ..settings(10 * S) };
        assert_eq!(give(&mut Ration::default(), 0, &none), 0);
        let no_rule = Settings { load_window: 0, ..settings(10 * S) };
        assert!(r.allows(0, &no_rule));
    }
}
