//! Stalls before and after the check that finds them.

use super::*;

#[test]
fn a_stall_counts_before_and_right_after_the_check_that_finds_it() {
    let mut stalls = StallDetector::new(0);
    (1..=100).for_each(|n| stalls.check(n * CHECK_INTERVAL));
    assert_eq!(stalls.delay(100 * CHECK_INTERVAL + 9_000), 0);
    let back = 100 * CHECK_INTERVAL + 300_000;
    assert_eq!(stalls.delay(back), 300_000);
    stalls.check(back);
    assert_eq!((stalls.delay(back), stalls.delay(back + 5_000)), (300_000, 300_000));
    assert_eq!(stalls.delay(back + 2 * CHECK_INTERVAL), 0);
    assert_eq!(stalls.totals, StallTotals { sum: 300_000, longest: 300_000, count: 1 });
}
