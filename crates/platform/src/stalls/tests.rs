//! Delays during a stall, and after the check that detects it.

use super::*;

#[test]
fn a_stall_counts_before_and_just_after_the_check_that_detects_it() {
    let mut stalls = StallDetector::new(0);
    for tick in 1..=100 {
        assert_eq!(stalls.check(tick * CHECK_INTERVAL), 0);
    }
    assert_eq!(stalls.delay(100 * CHECK_INTERVAL + 9_000), 0);
    let back = 100 * CHECK_INTERVAL + 300_000;
    assert_eq!(stalls.delay(back), 300_000 + CHECK_INTERVAL / 2);
    assert_eq!(stalls.check(back), 290_000);
    // Data read now arrived at an unknown time since the previous check, so the estimate is shorter by the maximum
    // error.
    assert_eq!(stalls.delay(back), 300_000 - MAX_DELAY_ERROR);
    assert_eq!(stalls.delay(back + 5_000), 305_000 - MAX_DELAY_ERROR);
    assert_eq!(stalls.longest_delay(back + 5_000), 305_000);
    stalls.check(back + CHECK_INTERVAL);
    assert_eq!(stalls.delay(back + CHECK_INTERVAL + 5_000), 0);
    assert_eq!(stalls.totals, StallTotals { sum: 300_000, longest: 300_000, count: 1 });
}
