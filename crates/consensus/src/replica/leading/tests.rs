//! Tests of `leading`.

use super::*;

#[test]
fn a_leader_that_restarts_waits_until_its_log_is_applied() {
    let mut leading = Leading::default();
    assert!(!leading.may_lead(false, 1, Some(8), Some((1, 6))));
    // Entries 7 and 8 are also of its own term, and members may have received their effects before the kill.
    assert!(!leading.may_lead(true, 1, Some(8), Some((1, 6))));
    assert!(!leading.may_lead(true, 1, Some(9), Some((1, 7))));
    assert!(
        leading.may_lead(true, 1, Some(9), Some((1, 8))),
        "entries appended after the start of the term need not be applied"
    );
    assert!(leading.may_lead(true, 1, Some(12), Some((1, 9))));
}

#[test]
fn an_elected_leader_waits_for_an_entry_of_its_own_term() {
    let mut leading = Leading::default();
    assert!(leading.may_lead(true, 1, Some(3), Some((1, 3))));
    assert!(!leading.may_lead(true, 2, Some(8), Some((1, 8))), "a later term requires an entry of its own");
    assert!(leading.may_lead(true, 2, Some(9), Some((2, 9))));
    assert!(!leading.may_lead(false, 3, Some(9), Some((2, 9))));
    assert!(!leading.may_lead(true, 3, None, None));
}
