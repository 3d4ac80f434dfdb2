//! The checker against captures written by hand: a good one, and one for each way to break a rule.

mod scene;

use bytes::BytesMut;
use scene::{broken, Scene, BROKER, MS, NOT_RUN, S, W1, W1_B, W2};
use stagehoist_amqp::codec::{put_method, PROTOCOL_HEADER};
use stagehoist_amqp::{connection, short, AMQPClass};
use stagehoist_checker::Direction;

#[test]
fn a_good_day_breaks_nothing_and_is_counted() {
    let mut s = Scene::new();
    s.list(0, ["ready", "ready"]);
    s.call(S, "a", "unsafe");
    s.attempt(S + 2 * MS, W1, "a", Some(NOT_RUN), MS);
    s.attempt(S + 4 * MS, W2, "a", Some((200, "")), 30 * MS);
    s.answer(S + 40 * MS, "a", "served");
    s.call(2 * S, "b", "safe").answer(2 * S + 5 * MS, "b", "refused");
    s.call(3 * S, "c", "unsafe");
    s.attempt(3 * S + 2 * MS, W1, "c", None, 5 * MS);
    s.answer(3 * S + 9 * MS, "c", "failed");
    s.load(4 * S, W1);
    let v = s.check(|_| {});
    assert_eq!(broken(&v), Vec::<u8>::new(), "{v:#?}");
    assert_eq!((v.sent, v.served, v.refused, v.failed, v.unanswered), (3, 1, 1, 1, 0));
    assert!(v.rules.iter().filter(|r| r.rule != 4).all(|r| r.checks > 0), "{v:#?}");
}

#[test]
fn rule_1_broken_by_no_answer_by_two_by_a_late_one_and_by_a_wordless_one() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    let v = s.check(|_| {});
    assert_eq!((broken(&v), v.unanswered, v.not_owed), (vec![1], 1, 0));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + 5 * MS, "a", "served").answer(S + 9 * MS, "a", "served");
    let v = s.check(|_| {});
    assert_eq!((broken(&v), v.answered_twice), (vec![1], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + 2600 * MS, "a", "failed");
    let v = s.check(|_| {});
    assert_eq!((broken(&v), v.late), (vec![1], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + MS, "a", "perhaps");
    assert_eq!(broken(&s.check(|_| {})), [1]);
}

#[test]
fn rule_1_excuses_what_went_back_to_the_broker_was_stopped_or_could_not_leave() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.close(2 * S, BROKER, s.broker);
    let v = s.check(|_| {});
    assert_eq!((broken(&v), v.not_owed), (vec![], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(4 * S, "a", "refused");
    let v = s.check(|c| c.frozen.push((0, S, 4 * S)));
    assert_eq!((broken(&v), v.late), (vec![], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(4 * S, "a", "refused");
    for (at, open) in [(2 * S, false), (4 * S, true)] {
        let method = if open {
            connection::AMQPMethod::Unblocked(connection::Unblocked {})
        } else {
            connection::AMQPMethod::Blocked(connection::Blocked { reason: short("memory") })
        };
        let mut out = BytesMut::new();
        put_method(&mut out, 0, AMQPClass::Connection(method));
        s.bytes(at, BROKER, s.broker, Direction::In, out.freeze());
    }
    assert_eq!(broken(&s.check(|_| {})), Vec::<u8>::new());
}

#[test]
fn rule_2_broken_by_another_attempt_or_a_refusal_after_one_that_may_have_run() {
    let breaches: [(&str, Option<(u16, &str)>); 3] =
        [("reset", None), ("error", Some((500, ""))), ("busy without proof", Some((503, "")))];
    for (why, first) in breaches {
        let mut s = Scene::new();
        s.call(S, "a", "unsafe");
        s.attempt(S + 2 * MS, W1, "a", first, MS);
        s.attempt(S + 5 * MS, W2, "a", Some((200, "")), MS);
        s.answer(S + 9 * MS, "a", "served");
        assert_eq!(broken(&s.check(|_| {})), [2], "{why}");
        let mut s = Scene::new();
        s.call(S, "a", "unsafe");
        s.attempt(S + 2 * MS, W1, "a", first, MS);
        s.answer(S + 9 * MS, "a", "refused");
        assert_eq!(broken(&s.check(|_| {})), [2], "refused after {why}");
    }
}

#[test]
fn rule_2_broken_outside_group_or_window_and_by_two_at_a_time() {
    for (second, at, kept) in [(W1, 500 * MS, true), (W2, 500 * MS, false), (W1, 1500 * MS, false)] {
        let mut s = Scene::new();
        s.call(S, "a", "keyed");
        s.attempt(S + 2 * MS, W1, "a", None, MS);
        s.attempt(S + 2 * MS + at, second, "a", Some((200, "")), MS);
        s.answer(S + 1900 * MS, "a", "served");
        assert_eq!(broken(&s.check(|_| {})).is_empty(), kept, "{second} {at}");
    }
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.attempt(S + 2 * MS, W1, "a", Some((200, "")), 50 * MS);
    s.attempt(S + 9 * MS, W2, "a", Some((200, "")), 9 * MS);
    s.answer(S + 60 * MS, "a", "served");
    let copy = Scene { records: s.records.clone(), ..s };
    assert_eq!(broken(&copy.check(|c| c.second_copies = true)), Vec::<u8>::new());
}

#[test]
fn rule_2_sees_two_attempts_out_at_once_where_that_is_not_allowed() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.attempt(S + 2 * MS, W1, "a", Some((200, "")), 50 * MS);
    s.attempt(S + 9 * MS, W2, "a", Some((200, "")), 9 * MS);
    s.answer(S + 60 * MS, "a", "served");
    assert_eq!(broken(&s.check(|_| {})), [2]);
}

/// Late without a gap, late by less than the gap seen, by more, and with a gap that was over before the caller's time was.
#[test]
fn rule_1_holds_against_the_machine_what_was_seen_of_it_and_no_more() {
    let by = S + 2500 * MS + 10 * MS;
    for (late, gap, kept) in [
        (60 * MS, None, false),
        (60 * MS, Some((by - 5 * MS, by + 60 * MS)), true),
        (60 * MS, Some((by + 10 * MS, by + 60 * MS)), false),
        (60 * MS, Some((by - 400 * MS, by - 15 * MS)), false),
        (60 * MS, Some((by + 90 * MS, by + 400 * MS)), false),
    ] {
        let mut s = Scene::new();
        s.call(S, "a", "safe").answer(by + late - MS, "a", "served");
        let v = s.check(|c| c.gaps.extend(gap));
        assert_eq!((broken(&v).is_empty(), v.late), (kept, 1), "{late} {gap:?}");
    }
}

/// The old process of a front end, or another front end, sent it; intents or not, it must not go out again.
#[test]
fn rule_2_sees_an_unsafe_call_again_after_a_restart_and_at_another_front_end() {
    for (second, first, kept) in
        [(W1_B, None, false), (W1, None, false), (W2, Some((200, "")), false), (W1_B, Some(NOT_RUN), true)]
    {
        let mut s = Scene::new();
        s.call(S, "a", "unsafe");
        s.attempt(S + 2 * MS, W1, "a", first, 5 * MS);
        s.close(S + 8 * MS, BROKER, s.broker);
        if second == W1_B {
            s.by_b = true;
        } else {
            s.broker = s.open(S + 400 * MS, BROKER);
            s.bytes(S + 400 * MS, BROKER, s.broker, Direction::Out, PROTOCOL_HEADER[..].into());
        }
        s.deliver(S + 500 * MS, "a", true);
        s.attempt(S + 510 * MS, second, "a", Some((200, "")), 5 * MS);
        s.answer(S + 520 * MS, "a", "served");
        let v = s.check(|c| {
            c.begun.push((0, S + 300 * MS));
            c.frozen.push((0, 0, S + 10 * MS));
        });
        assert_eq!(broken(&v), if kept { vec![] } else { vec![2] }, "{second} {first:?}");
    }
}
