//! Counts of first and further attempts in a sliding window, for a budget of further ones ("retry budget", as in Finagle
//! and in gRPC's retry throttling, gRFC A6). State without judgement: the module asks and decides.

use crate::interface::Micros;

/// Parts of the window; what is older than the window leaves in steps of one part.
const PARTS: usize = 8;

/// How many further attempts are allowed beside the first ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Length of the window in microseconds; 0: no budget.
    pub window: Micros,
    /// Further attempts that are free in each window.
    pub free: f64,
    /// Further attempts for each first attempt in the window.
    pub share: f64,
}

/// Attempts of one function, or at one worker, within the window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    /// First and further attempts by part, a ring.
    parts: [(u32, u32); PARTS],
    /// Number of the newest part since time 0.
    newest: Micros,
}

impl Tries {
    fn part(now: Micros, budget: &RetryBudget) -> Micros {
        now.div_euclid((budget.window / PARTS as Micros).max(1))
    }

    /// Counts an attempt.
    pub fn add(&mut self, further: bool, now: Micros, budget: &RetryBudget) {
        let part = Tries::part(now, budget);
        // A clock that goes backwards counts to the newest part.
        for passed in (self.newest + 1..=part).rev().take(PARTS) {
            self.parts[passed.rem_euclid(PARTS as Micros) as usize] = (0, 0);
        }
        self.newest = self.newest.max(part);
        let slot = &mut self.parts[self.newest.rem_euclid(PARTS as Micros) as usize];
        let count = if further { &mut slot.1 } else { &mut slot.0 };
        *count = count.saturating_add(1);
    }

    /// Whether one further attempt more is inside the budget.
    pub fn allow(&self, now: Micros, budget: &RetryBudget) -> bool {
        if budget.window <= 0 {
            return true;
        }
        let part = Tries::part(now, budget);
        let live = (part - PARTS as Micros + 1..=self.newest).rev().take(PARTS);
        let sum = live.map(|p| self.parts[p.rem_euclid(PARTS as Micros) as usize]);
        let (first, further) = sum.fold((0.0, 0.0), |(a, b), x| (a + f64::from(x.0), b + f64::from(x.1)));
        further + 1.0 <= budget.free + budget.share * first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const B: RetryBudget = RetryBudget { window: 8_000_000, free: 2.0, share: 0.2 };
    const S: Micros = 1_000_000;

    #[test]
    fn free_ones_first_then_the_share_and_both_leave_with_the_window() {
        let mut t = Tries::default();
        let mut spent = 0;
        while t.allow(0, &B) {
            t.add(true, 0, &B);
            spent += 1;
        }
        assert_eq!(spent, 2);
        (0..9).for_each(|_| t.add(false, S, &B));
        assert!(t.allow(S, &B));
        t.add(true, S, &B);
        assert!(!t.allow(S, &B));
        // At 8 s the two of the first second are over; the rest stands.
        assert!(!t.allow(7 * S, &B));
        assert!(t.allow(8 * S, &B));
        t.add(true, 8 * S, &B);
        t.add(true, 8 * S, &B);
        assert!(!t.allow(8 * S, &B));
        assert!(t.allow(100 * S, &B));
        assert_eq!((t.parts.iter().map(|p| p.0 + p.1).sum::<u32>()), 12);
    }

    /// Whatever the order of times, never more than the budget within what the window still counts.
    #[test]
    fn never_more_than_told_over_a_drawn_run() {
        let mut t = Tries::default();
        let (mut firsts, mut furthers): (Vec<Micros>, Vec<Micros>) = Default::default();
        let mut x = 7u64;
        let mut now = 0;
        for _ in 0..20_000 {
            x = crate::numbers::mix(x, 1);
            now += (x % 40_000) as Micros;
            if x.is_multiple_of(3) {
                t.add(false, now, &B);
                firsts.push(now);
            } else if t.allow(now, &B) {
                t.add(true, now, &B);
                furthers.push(now);
                let within =
                    |list: &[Micros], span| list.iter().rev().take_while(|a| **a > now - span).count() as f64;
                // A part at the window's far end is counted whole or not at all.
                let (few, many) = (within(&furthers, 7 * S), within(&firsts, 8 * S));
                assert!(few <= B.free + B.share * many, "{few} {many}");
            }
        }
        assert!(furthers.len() as f64 > 0.15 * firsts.len() as f64);
    }

    #[test]
    fn no_window_no_budget() {
        let none = RetryBudget::default();
        let mut t = Tries::default();
        (0..1000).for_each(|_| t.add(true, 0, &none));
        assert!(t.allow(0, &none));
    }
}
