//! Tests of `formation`.

use super::*;

fn answers(stands: &[(bool, u64, bool)]) -> BTreeMap<u64, ReplicaStatus> {
    let stand = |&(fresh, term, voter)| ReplicaStatus {
        is_new: fresh,
        is_participating: true,
        term,
        is_voter: voter,
    };
    (2..).zip(stands.iter().map(stand)).collect()
}

#[test]
fn the_first_membership_is_formed_once_a_majority_has_nothing_and_nobody_has_something() {
    let fresh = (true, 0, false);
    assert_eq!(choose(Start::Pristine, 0, &answers(&[])), Choice::Form);
    assert_eq!(choose(Start::Pristine, 2, &answers(&[])), Choice::Wait);
    assert_eq!(choose(Start::Pristine, 2, &answers(&[fresh])), Choice::Form);
    assert_eq!(choose(Start::Pristine, 2, &answers(&[fresh, (false, 3, true)])), Choice::Return(3));
    assert_eq!(choose(Start::Returning(None), 2, &answers(&[fresh])), Choice::Wait);
}

#[test]
fn one_that_lost_its_disk_is_bounded_by_all_others_and_one_never_taken_in_just_joins() {
    let voter = (false, 5, true);
    assert_eq!(choose(Start::Pristine, 2, &answers(&[voter])), Choice::Wait);
    assert_eq!(choose(Start::Pristine, 2, &answers(&[voter, (false, 7, true)])), Choice::Return(7));
    let without = (false, 5, false);
    assert_eq!(choose(Start::Pristine, 3, &answers(&[without, without])), Choice::Join);
    assert_eq!(choose(Start::Returning(None), 2, &answers(&[without, without])), Choice::Return(5));
}
