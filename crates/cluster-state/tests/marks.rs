//! Questions about messages that are delivered again: whose word counts, and when.

use stagehoist_cluster_state::Known::{MayHaveRun, None as Unsent, NotKnown};
use stagehoist_cluster_state::{Heard, Known, MessageKey, Rounds, ToKeeper};

const MS: i64 = 1000;

fn key(n: u32) -> MessageKey {
    MessageKey { reply_to: "r".into(), correlation: format!("c{n}"), message: String::new() }
}

/// Two messages asked about at time 0, in the first turn.
fn asked() -> Rounds {
    let mut rounds = Rounds::default();
    assert!(rounds.ask(1, vec![key(1), key(2)], 0));
    let Some(ToKeeper::Ask { number: 1, turn: 1, to, .. }) = rounds.next(0) else { panic!("nothing asked") };
    assert!(to.is_empty(), "all");
    rounds
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

fn told(known: &[Option<Known>]) -> Option<Heard> {
    Some(Heard::Told { number: 1, known: known.to_vec() })
}

#[test]
fn nothing_is_known_to_be_unsent_before_each_one_has_said_so() {
    let mut rounds = asked();
    assert_eq!(rounds.told(1, "b".into(), &[Unsent, Unsent]), None, "who has to say is not told yet");
    assert_eq!(rounds.of(1, 1, names(&["b", "c"]), 10 * MS), None, "c is silent");
    let Some(ToKeeper::Ask { to, turn: 2, .. }) = rounds.next(100 * MS) else { panic!("not asked again") };
    assert_eq!(to, ["c"]);
    assert_eq!(rounds.told(1, "b".into(), &[Unsent, Unsent]), None, "a word that comes twice");
    assert_eq!(rounds.told(1, "c".into(), &[Unsent, Unsent]), told(&[Some(Unsent), Some(Unsent)]));
    assert_eq!(rounds.due(), None);
}

#[test]
fn one_doubt_is_enough_and_told_at_once() {
    for doubt in [MayHaveRun, NotKnown] {
        let mut rounds = asked();
        rounds.of(1, 1, names(&["b", "c"]), 10 * MS);
        assert_eq!(rounds.told(1, "b".into(), &[doubt, Unsent]), told(&[Some(doubt), None]));
        assert_eq!(rounds.told(1, "c".into(), &[Unsent, Unsent]), told(&[Some(doubt), Some(Unsent)]));
    }
    // An answer that leaves messages out.
    let mut rounds = asked();
    rounds.of(1, 1, names(&["b"]), 10 * MS);
    assert_eq!(rounds.told(1, "b".into(), &[Unsent]), told(&[Some(Unsent), Some(NotKnown)]));
}

#[test]
fn who_has_to_say_is_believed_only_of_a_leader_that_answers_at_once() {
    // A leader that was cut off may not know of one who joined elsewhere and held the message.
    let mut rounds = asked();
    assert_eq!(rounds.of(1, 1, names(&[]), 101 * MS), None, "too late");
    rounds.next(101 * MS);
    assert_eq!(rounds.of(1, 1, names(&[]), 102 * MS), None, "of the turn before");
    assert_eq!(rounds.of(1, 2, names(&[]), 102 * MS), told(&[Some(Unsent), Some(Unsent)]), "nobody else");
}

#[test]
fn questions_are_bounded_in_number_and_time() {
    let mut rounds = Rounds::default();
    assert!(!rounds.ask(1, (0..257).map(key).collect(), 0) && !rounds.ask(1, Vec::new(), 0));
    assert!((1..=64).all(|n| rounds.ask(n, vec![key(1)], 0)) && !rounds.ask(65, vec![key(1)], 0));
    assert!(rounds.ask(66, vec![key(1)], 5_000 * MS), "the others are over");
    assert_eq!(rounds.of(1, 1, names(&[]), 5_000 * MS), None);
}
