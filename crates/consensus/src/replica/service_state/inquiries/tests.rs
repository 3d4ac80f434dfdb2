use super::remaining_members;
use std::cell::Cell;
use std::cmp::Ordering;

thread_local! {
    static COMPARED: Cell<usize> = const { Cell::new(0) };
}

/// A name that counts how often it is compared.
#[derive(Debug, Clone, Copy, Eq)]
struct Counted(usize);

impl Counted {
    fn compare(self, other: Counted) -> Ordering {
        COMPARED.set(COMPARED.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialEq for Counted {
    fn eq(&self, other: &Counted) -> bool {
        self.compare(*other) == Ordering::Equal
    }
}

impl PartialOrd for Counted {
    fn partial_cmp(&self, other: &Counted) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Counted {
    fn cmp(&self, other: &Counted) -> Ordering {
        self.compare(*other)
    }
}

#[test]
fn remaining_members_are_found_in_few_comparisons() {
    let names: Vec<Counted> = (0..4096).map(Counted).collect();
    // All but every third, last first, and one that the cluster state does not hold.
    let to: Vec<Counted> = (0..4097).rev().filter(|n| n % 3 != 0).map(Counted).collect();
    COMPARED.set(0);
    let connections: Vec<usize> = remaining_members(&names, &to).into_iter().map(|c| c.0).collect();
    let compared = COMPARED.get();
    assert_eq!(connections, (0..4096).filter(|n| n % 3 != 0).collect::<Vec<_>>());
    // Of 4096 names one by one against 2731 there are millions.
    assert!(compared < 4096 * 50, "{compared} comparisons");
}

#[test]
fn an_empty_list_selects_all_members() {
    let names = [Counted(1), Counted(2)];
    assert_eq!(remaining_members(&names, &[]).len(), 2);
    assert!(remaining_members(&names, &[Counted(3)]).is_empty());
}
