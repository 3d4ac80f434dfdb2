//! Tests of `participation`.

use super::*;
use openraft::LeaderId;

#[test]
fn a_replica_that_lost_its_log_votes_again_only_with_an_entry_of_a_later_term() {
    let participation = Participation::new(State::Undecided);
    assert!(!participation.may_vote() && !participation.may_follow(9));
    participation.set(State::Returning { bound: 4 });
    assert!(!participation.may_vote() && !participation.may_follow(4) && participation.may_follow(5));
    let entry = |term| Some(LogId::new(LeaderId::new(term, 1), 7));
    assert!(
        !participation.has_recovered(None)
            && !participation.has_recovered(entry(4))
            && participation.has_recovered(entry(5))
    );
    participation.set(State::Open);
    assert!(participation.may_vote() && participation.may_follow(1));
}
