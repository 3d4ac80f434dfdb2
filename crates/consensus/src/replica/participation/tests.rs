//! Tests of `participation`.

use super::*;
use openraft::LeaderId;

#[test]
fn one_that_lost_its_log_votes_again_only_with_an_entry_of_a_later_term() {
    let gate = Participation::new(State::Undecided);
    assert!(!gate.may_vote() && !gate.may_follow(9));
    gate.set(State::Returning { bound: 4 });
    assert!(!gate.may_vote() && !gate.may_follow(4) && gate.may_follow(5));
    let entry = |term| Some(LogId::new(LeaderId::new(term, 1), 7));
    assert!(!gate.is_back(None) && !gate.is_back(entry(4)) && gate.is_back(entry(5)));
    gate.set(State::Open);
    assert!(gate.may_vote() && gate.may_follow(1));
}
