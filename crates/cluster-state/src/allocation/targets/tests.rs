//! Tests of max-min fair shares.

use super::max_min;

#[test]
fn small_wants_are_met_and_large_ones_share_evenly() {
    assert_eq!(max_min(10, &[1, 100, 2, 100]), [1, 4, 2, 3]);
    assert_eq!(max_min(10, &[]), [0; 0]);
    assert_eq!(max_min(2, &[5, 5, 5]), [1, 1, 0]);
    assert_eq!(max_min(100, &[5, 0, 7]), [5, 0, 7]);
}
