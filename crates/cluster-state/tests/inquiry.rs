//! Inquiries about redelivered messages: which answers count, and when.

use stagehoist_cluster_state::MessageKnowledge::{MayHaveRun, None as Unsent, NotKnown};
use stagehoist_cluster_state::{InquiryEvent, InquiryRounds, MessageKey, MessageKnowledge, SessionRequest};

const MS: i64 = 1000;

fn key(n: u32) -> MessageKey {
    MessageKey { reply_to: "r".into(), correlation: format!("c{n}"), message: String::new() }
}

/// Starts an inquiry about two messages at time 0 and sends its first round.
fn start_inquiry() -> InquiryRounds {
    let mut rounds = InquiryRounds::default();
    assert!(rounds.start(1, vec![key(1), key(2)], 0));
    let Some(SessionRequest::Inquire { number: 1, round: 1, to, .. }) = rounds.next_request(0) else {
        panic!("no inquiry was sent")
    };
    assert!(to.is_empty(), "all");
    rounds
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

fn answered(known: &[Option<MessageKnowledge>]) -> Option<InquiryEvent> {
    Some(InquiryEvent::Answered { number: 1, known: known.to_vec() })
}

#[test]
fn a_message_is_known_to_be_unsent_only_after_every_member_has_answered() {
    let mut rounds = start_inquiry();
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent, Unsent]), None, "the members are not known yet");
    assert_eq!(rounds.on_members(1, 1, names(&["b", "c"]), 10 * MS), None, "c has not answered");
    let Some(SessionRequest::Inquire { to, round: 2, .. }) = rounds.next_request(100 * MS) else {
        panic!("the inquiry was not sent again")
    };
    assert_eq!(to, ["c"]);
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent, Unsent]), None, "duplicate answer");
    assert_eq!(rounds.on_answer(1, "c".into(), &[Unsent, Unsent]), answered(&[Some(Unsent), Some(Unsent)]));
    assert_eq!(rounds.next_due(), None);
}

#[test]
fn one_uncertain_answer_is_enough_and_reported_at_once() {
    for uncertain in [MayHaveRun, NotKnown] {
        let mut rounds = start_inquiry();
        rounds.on_members(1, 1, names(&["b", "c"]), 10 * MS);
        assert_eq!(rounds.on_answer(1, "b".into(), &[uncertain, Unsent]), answered(&[Some(uncertain), None]));
        assert_eq!(
            rounds.on_answer(1, "c".into(), &[Unsent, Unsent]),
            answered(&[Some(uncertain), Some(Unsent)])
        );
    }
    // An answer with missing entries.
    let mut rounds = start_inquiry();
    rounds.on_members(1, 1, names(&["b"]), 10 * MS);
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent]), answered(&[Some(Unsent), Some(NotKnown)]));
}

#[test]
fn the_member_list_is_accepted_only_from_a_leader_that_responds_at_once() {
    // A leader that was cut off may not know of a member that joined under another leader and held the message.
    let mut rounds = start_inquiry();
    assert_eq!(rounds.on_members(1, 1, names(&[]), 101 * MS), None, "too late");
    rounds.next_request(101 * MS);
    assert_eq!(rounds.on_members(1, 1, names(&[]), 102 * MS), None, "list of the previous round");
    assert_eq!(
        rounds.on_members(1, 2, names(&[]), 102 * MS),
        answered(&[Some(Unsent), Some(Unsent)]),
        "no other members"
    );
}

#[test]
fn inquiries_are_bounded_in_number_and_time() {
    let mut rounds = InquiryRounds::default();
    assert!(!rounds.start(1, (0..257).map(key).collect(), 0) && !rounds.start(1, Vec::new(), 0));
    assert!((1..=64).all(|n| rounds.start(n, vec![key(1)], 0)) && !rounds.start(65, vec![key(1)], 0));
    assert!(rounds.start(66, vec![key(1)], 5_000 * MS), "the other inquiries have timed out");
    assert_eq!(rounds.on_members(1, 1, names(&[]), 5_000 * MS), None);
}
