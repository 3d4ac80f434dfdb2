//! Questions about messages that are delivered again: whose word counts, and when.

use stagehoist_cluster_state::MessageKnowledge::{MayHaveRun, None as Unsent, NotKnown};
use stagehoist_cluster_state::{InquiryEvent, InquiryRounds, MessageKey, MessageKnowledge, SessionRequest};

const MS: i64 = 1000;

fn key(n: u32) -> MessageKey {
    MessageKey { reply_to: "r".into(), correlation: format!("c{n}"), message: String::new() }
}

/// Two messages asked about at time 0, in the first turn.
fn started() -> InquiryRounds {
    let mut rounds = InquiryRounds::default();
    assert!(rounds.start(1, vec![key(1), key(2)], 0));
    let Some(SessionRequest::Inquire { number: 1, round: 1, to, .. }) = rounds.next_request(0) else {
        panic!("nothing asked")
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
fn nothing_is_known_to_be_unsent_before_each_one_has_said_so() {
    let mut rounds = started();
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent, Unsent]), None, "who has to say is not told yet");
    assert_eq!(rounds.on_members(1, 1, names(&["b", "c"]), 10 * MS), None, "c is silent");
    let Some(SessionRequest::Inquire { to, round: 2, .. }) = rounds.next_request(100 * MS) else {
        panic!("not asked again")
    };
    assert_eq!(to, ["c"]);
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent, Unsent]), None, "a word that comes twice");
    assert_eq!(rounds.on_answer(1, "c".into(), &[Unsent, Unsent]), answered(&[Some(Unsent), Some(Unsent)]));
    assert_eq!(rounds.next_due(), None);
}

#[test]
fn one_doubt_is_enough_and_told_at_once() {
    for doubt in [MayHaveRun, NotKnown] {
        let mut rounds = started();
        rounds.on_members(1, 1, names(&["b", "c"]), 10 * MS);
        assert_eq!(rounds.on_answer(1, "b".into(), &[doubt, Unsent]), answered(&[Some(doubt), None]));
        assert_eq!(
            rounds.on_answer(1, "c".into(), &[Unsent, Unsent]),
            answered(&[Some(doubt), Some(Unsent)])
        );
    }
    // An answer that leaves messages out.
    let mut rounds = started();
    rounds.on_members(1, 1, names(&["b"]), 10 * MS);
    assert_eq!(rounds.on_answer(1, "b".into(), &[Unsent]), answered(&[Some(Unsent), Some(NotKnown)]));
}

#[test]
fn who_has_to_say_is_believed_only_of_a_leader_that_answers_at_once() {
    // A leader that was cut off may not know of one who joined elsewhere and held the message.
    let mut rounds = started();
    assert_eq!(rounds.on_members(1, 1, names(&[]), 101 * MS), None, "too late");
    rounds.next_request(101 * MS);
    assert_eq!(rounds.on_members(1, 1, names(&[]), 102 * MS), None, "of the turn before");
    assert_eq!(
        rounds.on_members(1, 2, names(&[]), 102 * MS),
        answered(&[Some(Unsent), Some(Unsent)]),
        "nobody else"
    );
}

#[test]
fn questions_are_bounded_in_number_and_time() {
    let mut rounds = InquiryRounds::default();
    assert!(!rounds.start(1, (0..257).map(key).collect(), 0) && !rounds.start(1, Vec::new(), 0));
    assert!((1..=64).all(|n| rounds.start(n, vec![key(1)], 0)) && !rounds.start(65, vec![key(1)], 0));
    assert!(rounds.start(66, vec![key(1)], 5_000 * MS), "the others are over");
    assert_eq!(rounds.on_members(1, 1, names(&[]), 5_000 * MS), None);
}
