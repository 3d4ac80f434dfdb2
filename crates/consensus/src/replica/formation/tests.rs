//! Tests of `formation`.

use super::*;

fn answers(statuses: &[(bool, u64, bool)]) -> BTreeMap<u64, ReplicaStatus> {
    let to_status = |&(fresh, term, voter)| ReplicaStatus {
        is_new: fresh,
        is_participating: true,
        term,
        is_voter: voter,
    };
    (2..).zip(statuses.iter().map(to_status)).collect()
}

#[test]
fn the_first_membership_is_formed_if_a_majority_answered_and_all_are_new() {
    let fresh = (true, 0, false);
    assert_eq!(choose_action(Start::Pristine, 0, &answers(&[])), RecoveryAction::Form);
    assert_eq!(choose_action(Start::Pristine, 2, &answers(&[])), RecoveryAction::Wait);
    assert_eq!(choose_action(Start::Pristine, 2, &answers(&[fresh])), RecoveryAction::Form);
    assert_eq!(
        choose_action(Start::Pristine, 2, &answers(&[fresh, (false, 3, true)])),
        RecoveryAction::Return(3)
    );
    assert_eq!(choose_action(Start::Returning(None), 2, &answers(&[fresh])), RecoveryAction::Wait);
}

#[test]
fn a_lost_disk_takes_its_bound_from_all_others_and_a_new_replica_joins() {
    let voter = (false, 5, true);
    assert_eq!(choose_action(Start::Pristine, 2, &answers(&[voter])), RecoveryAction::Wait);
    assert_eq!(
        choose_action(Start::Pristine, 2, &answers(&[voter, (false, 7, true)])),
        RecoveryAction::Return(7)
    );
    let without = (false, 5, false);
    assert_eq!(choose_action(Start::Pristine, 3, &answers(&[without, without])), RecoveryAction::Join);
    assert_eq!(
        choose_action(Start::Returning(None), 2, &answers(&[without, without])),
        RecoveryAction::Return(5)
    );
}
