use super::{demand_delay, DemandKey, REPORT_GAP, WAITING_GAP};
use std::cell::Cell;
use std::hash::{Hash, Hasher};

thread_local! {
    static COMPARED: Cell<usize> = const { Cell::new(0) };
}

/// An owner of demand that counts its comparisons.
#[derive(Clone, Copy, Eq)]
struct Counted(u32);

impl PartialEq for Counted {
    fn eq(&self, other: &Counted) -> bool {
        COMPARED.set(COMPARED.get() + 1);
        self.0 == other.0
    }
}

impl Hash for Counted {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

fn early_report_delay(last: &[DemandKey<u32>], now: &[DemandKey<u32>]) -> Option<std::time::Duration> {
    demand_delay(last.iter().copied(), now.iter().copied())
}

#[test]
fn new_demand_is_reported_sooner_than_calls_that_began_to_wait() {
    assert_eq!(early_report_delay(&[], &[]), None);
    assert_eq!(early_report_delay(&[], &[(1, 0, 0)]), None);
    assert_eq!(early_report_delay(&[], &[(1, 1, 0)]), Some(REPORT_GAP));
    assert_eq!(early_report_delay(&[(1, 0, 0)], &[(1, 0, 1)]), Some(REPORT_GAP));
    assert_eq!(early_report_delay(&[(1, 1, 0)], &[(1, 2, 0)]), None);
    assert_eq!(early_report_delay(&[(1, 1, 0)], &[(1, 1, 1)]), Some(WAITING_GAP));
    assert_eq!(early_report_delay(&[(1, 0, 1)], &[(1, 1, 3)]), None);
    // New demand of another owner takes precedence over calls that began to wait.
    assert_eq!(early_report_delay(&[(1, 1, 0)], &[(1, 1, 1), (2, 1, 0)]), Some(REPORT_GAP));
    // Of two demands of the same owner, the first counts.
    assert_eq!(early_report_delay(&[(1, 1, 1), (1, 0, 0)], &[(1, 1, 1)]), None);
    assert_eq!(
        early_report_delay(&[(1, 1, 0)], &[(2, 0, 0)]),
        None,
        "demand that ended needs no early report"
    );
}

#[test]
fn demands_are_compared_about_once_each() {
    let last: Vec<DemandKey<Counted>> = (0..4096).map(|n| (Counted(n), 1, 1)).collect();
    COMPARED.set(0);
    assert_eq!(demand_delay(last.iter().copied(), last.iter().rev().copied()), None);
    let compared = COMPARED.get();
    // A linear search took millions of comparisons; hash collisions cause only a few.
    assert!(compared < 4096 * 4, "{compared} comparisons");
}
