//! Rule 6 against captures written by hand.

mod scene;

use scene::{broken, Scene, MS, S, W1, W1_B};
use stagehoist_checker::rules::{Retired, RuleSet};
use stagehoist_checker::Micros;

/// `safe` is retired from 2 s; front end 1 counts from `second`, where told.
fn retire(second: Option<Micros>) -> impl Fn(&mut RuleSet) {
    move |charter: &mut RuleSet| {
        let confirmed_from = second.map(|at| (1, at)).into_iter().collect();
        charter.retired.push(Retired { function: "safe".into(), in_force: Some(2 * S), confirmed_from });
    }
}

#[test]
fn kept_by_answers_before_it_by_failures_after_it_by_other_functions_and_by_an_unload() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.attempt(S + 2 * MS, W1, "a", Some((200, "")), 5 * MS);
    s.answer(S + 9 * MS, "a", "served");
    s.order(S, W1, "safe", "load");
    s.call(3 * S, "b", "safe").answer(3 * S + 5 * MS, "b", "failed retired");
    s.call(3 * S, "c", "unsafe");
    s.attempt(3 * S + 2 * MS, W1, "c", Some((200, "")), 5 * MS);
    s.answer(3 * S + 9 * MS, "c", "served");
    s.order(3 * S, W1, "safe", "unload");
    let v = s.check(retire(None));
    assert_eq!(broken(&v), Vec::<u8>::new(), "{v:#?}");
    assert_eq!(v.rules.last().map(|r| (r.rule, r.checks)), Some((6, 3)));
}

#[test]
fn broken_by_a_served_answer_by_an_attempt_and_by_a_load_alone() {
    for what in ["answer", "attempt", "load"] {
        let mut s = Scene::new();
        s.call(2 * S - 9 * MS, "a", "safe");
        match what {
            "answer" => drop(s.answer(2 * S + 6 * MS, "a", "served")),
            "attempt" => {
                s.attempt(2 * S + 6 * MS, W1, "a", Some((200, "")), 5 * MS);
                s.answer(2 * S + 20 * MS, "a", "failed retired");
            }
            _ => {
                s.order(2 * S + 6 * MS, W1, "safe", "load");
                s.answer(2 * S + 20 * MS, "a", "failed retired");
            }
        }
        let v = s.check(retire(None));
        assert_eq!(broken(&v), [6], "{what}");
        assert_eq!(v.rules.last().map(|r| r.breach_count), Some(1), "{what}");
    }
}

/// The tap's own delay is allowed, and what the machine was seen late; not more.
#[test]
fn bytes_on_their_way_at_the_moment_are_no_breach() {
    for (after, gap, kept) in [
        (4 * MS, None, true),
        (6 * MS, None, false),
        (40 * MS, Some((2 * S, 2 * S + 38 * MS)), true),
        (40 * MS, Some((2 * S + 20 * MS, 2 * S + 38 * MS)), false),
    ] {
        let mut s = Scene::new();
        s.call(S, "a", "safe").answer(2 * S + after, "a", "served");
        let v = s.check(|c| {
            retire(None)(c);
            c.gaps.extend(gap);
        });
        assert_eq!(broken(&v).is_empty(), kept, "{after} {gap:?}");
    }
}

#[test]
fn a_front_end_named_in_but_for_counts_from_its_own_confirmation() {
    for (second, kept) in
        [(None, false), (Some(Micros::MAX), true), (Some(4 * S), true), (Some(2500 * MS), false)]
    {
        let mut s = Scene::new();
        s.by_b = true;
        s.call(3 * S, "a", "safe");
        s.attempt(3 * S + 2 * MS, W1_B, "a", Some((200, "")), 5 * MS);
        s.answer(3 * S + 9 * MS, "a", "served");
        assert_eq!(broken(&s.check(retire(second))).is_empty(), kept, "{second:?}");
        // The other front end is bound all the same.
        let mut s = Scene::new();
        s.call(3 * S, "a", "safe").answer(3 * S + 9 * MS, "a", "served");
        assert_eq!(broken(&s.check(retire(second))), [6]);
    }
}

#[test]
fn a_retirement_that_never_came_into_force_binds_only_who_confirmed() {
    for (confirmed, kept) in [(None, true), (Some(2 * S), false)] {
        let mut s = Scene::new();
        s.call(3 * S, "a", "safe").answer(3 * S + 9 * MS, "a", "served");
        let v = s.check(|c| {
            let confirmed_from = confirmed.map(|at| (0, at)).into_iter().collect();
            c.retired.push(Retired { function: "safe".into(), in_force: None, confirmed_from });
        });
        assert_eq!(broken(&v).is_empty(), kept, "{confirmed:?}");
    }
}
