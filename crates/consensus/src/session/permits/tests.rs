use super::{began, DemandKey, REPORT_GAP, WAITING_GAP};
use std::cell::Cell;
use std::hash::{Hash, Hasher};

thread_local! {
    static COMPARED: Cell<usize> = const { Cell::new(0) };
}

/// Whose demand it is, counting how often it is compared.
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

fn news(last: &[DemandKey<u32>], now: &[DemandKey<u32>]) -> Option<std::time::Duration> {
    began(last.iter().copied(), now.iter().copied())
}

#[test]
fn demand_that_began_is_told_first_then_calls_that_began_to_wait() {
    assert_eq!(news(&[], &[]), None);
    assert_eq!(news(&[], &[(1, 0, 0)]), None);
    assert_eq!(news(&[], &[(1, 1, 0)]), Some(REPORT_GAP));
    assert_eq!(news(&[(1, 0, 0)], &[(1, 0, 1)]), Some(REPORT_GAP));
    assert_eq!(news(&[(1, 1, 0)], &[(1, 2, 0)]), None);
    assert_eq!(news(&[(1, 1, 0)], &[(1, 1, 1)]), Some(WAITING_GAP));
    assert_eq!(news(&[(1, 0, 1)], &[(1, 1, 3)]), None);
    // One whose calls wait stands before one that began.
    assert_eq!(news(&[(1, 1, 0)], &[(1, 1, 1), (2, 1, 0)]), Some(REPORT_GAP));
    // The first of two counts, as they came.
    assert_eq!(news(&[(1, 1, 1), (1, 0, 0)], &[(1, 1, 1)]), None);
    assert_eq!(news(&[(1, 1, 0)], &[(2, 0, 0)]), None, "one that ended is no news");
}

#[test]
fn demands_are_compared_about_once_each() {
    let last: Vec<DemandKey<Counted>> = (0..4096).map(|n| (Counted(n), 1, 1)).collect();
    COMPARED.set(0);
    assert_eq!(began(last.iter().copied(), last.iter().rev().copied()), None);
    let compared = COMPARED.get();
    // One by one it was millions; hashes that look alike cost a few.
    assert!(compared < 4096 * 4, "{compared} comparisons");
}
