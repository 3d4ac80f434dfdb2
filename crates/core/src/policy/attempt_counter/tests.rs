//! Retry budgets over a sliding window.

use super::*;
use crate::policy::math::hash;

const BUDGET: RetryBudget = RetryBudget { window: 8_000_000, free: 2.0, share: 0.2 };
const S: Micros = 1_000_000;

#[test]
fn free_retries_and_the_share_of_first_attempts_expire_with_the_window() {
    let mut counter = AttemptCounter::default();
    let mut retry_count = 0;
    while counter.allows_retry(0, &BUDGET) {
        counter.add(true, 0, &BUDGET);
        retry_count += 1;
    }
    assert_eq!(retry_count, 2);
    (0..9).for_each(|_| counter.add(false, S, &BUDGET));
    assert!(counter.allows_retry(S, &BUDGET));
    counter.add(true, S, &BUDGET);
    assert!(!counter.allows_retry(S, &BUDGET));
    // At 8 s the two retries of the first second have left the window; the other attempts have not.
    assert!(!counter.allows_retry(7 * S, &BUDGET));
    assert!(counter.allows_retry(8 * S, &BUDGET));
    counter.add(true, 8 * S, &BUDGET);
    counter.add(true, 8 * S, &BUDGET);
    assert!(!counter.allows_retry(8 * S, &BUDGET));
    assert!(counter.allows_retry(100 * S, &BUDGET));
    assert_eq!(counter.buckets.iter().map(|bucket| bucket.first + bucket.retries).sum::<u32>(), 12);
}

/// Retries never exceed the budget within the part of the window that is still counted, at random times.
#[test]
fn retries_never_exceed_the_budget_in_a_random_run() {
    let mut counter = AttemptCounter::default();
    let (mut firsts, mut retries): (Vec<Micros>, Vec<Micros>) = Default::default();
    let mut random = 7u64;
    let mut now = 0;
    for _ in 0..20_000 {
        random = hash(random, 1);
        now += (random % 40_000) as Micros;
        if random.is_multiple_of(3) {
            counter.add(false, now, &BUDGET);
            firsts.push(now);
        } else if counter.allows_retry(now, &BUDGET) {
            counter.add(true, now, &BUDGET);
            retries.push(now);
            let within =
                |times: &[Micros], span| times.iter().rev().take_while(|at| **at > now - span).count() as f64;
            // A bucket at the window's far end is counted entirely or not at all.
            let (recent_retries, recent_firsts) = (within(&retries, 7 * S), within(&firsts, 8 * S));
            assert!(
                recent_retries <= BUDGET.free + BUDGET.share * recent_firsts,
                "{recent_retries} {recent_firsts}"
            );
        }
    }
    assert!(retries.len() as f64 > 0.15 * firsts.len() as f64);
}

#[test]
fn without_a_window_there_is_no_limit() {
    let unlimited = RetryBudget::default();
    let mut counter = AttemptCounter::default();
    (0..1000).for_each(|_| counter.add(true, 0, &unlimited));
    assert!(counter.allows_retry(0, &unlimited));
}
