//! Counts first attempts and retries in a sliding window, for a retry budget (as in Finagle and in gRPC's retry
//! throttling, gRFC A6). Holds no decisions.

use crate::interface::{Micros, RetryBudget};

#[cfg(test)]
mod tests;

/// Number of buckets of the window. Older attempts leave the window one bucket at a time.
const BUCKETS: usize = 8;

/// Attempts within one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first: u32,
    retries: u32,
}

/// Attempts of one function, or at one worker, within the window.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounter {
    /// A ring buffer, indexed by bucket number.
    buckets: [Bucket; BUCKETS],
    /// Number of the newest bucket since time 0.
    newest: Micros,
}

/// Returns the number, since time 0, of the bucket that contains a time.
fn bucket_number(now: Micros, budget: &RetryBudget) -> Micros {
    now.div_euclid((budget.window / BUCKETS as Micros).max(1))
}

/// Returns the index in the ring of the bucket with a number.
fn bucket_index(number: Micros) -> usize {
    number.rem_euclid(BUCKETS as Micros) as usize
}

impl AttemptCounter {
    /// Counts an attempt.
    pub fn add(&mut self, is_retry: bool, now: Micros, budget: &RetryBudget) {
        let number = bucket_number(now, budget);
        // If the clock goes backwards, the attempt is counted in the newest bucket.
        for passed in (self.newest + 1..=number).rev().take(BUCKETS) {
            self.buckets[bucket_index(passed)] = Bucket::default();
        }
        self.newest = self.newest.max(number);
        let bucket = &mut self.buckets[bucket_index(self.newest)];
        let count = if is_retry { &mut bucket.retries } else { &mut bucket.first };
        *count = count.saturating_add(1);
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&self, now: Micros, budget: &RetryBudget) -> bool {
        if budget.window <= 0 {
            return true;
        }
        let oldest = bucket_number(now, budget) - BUCKETS as Micros + 1;
        let (mut first, mut retries) = (0.0, 0.0);
        for number in (oldest..=self.newest).rev().take(BUCKETS) {
            let bucket = self.buckets[bucket_index(number)];
            first += f64::from(bucket.first);
            retries += f64::from(bucket.retries);
        }
        retries + 1.0 <= budget.free + budget.share * first
    }
}
