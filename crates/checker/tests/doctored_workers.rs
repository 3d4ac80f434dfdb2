//! Rules 3 to 5 against captures written by hand: kept, and one for each way to break them.

mod scene;

use scene::{broken, Scene, MS, S, W1};
use stagehoist_checker::rules::WorkerStart;

#[test]
fn rule_3_broken_by_a_call_or_a_load_later_than_the_grace() {
    for (told, wait, load, kept) in [
        ("draining", 900 * MS, false, true),
        ("draining", 1100 * MS, false, false),
        ("gone", 1100 * MS, false, false),
        ("draining", 1100 * MS, true, false),
    ] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(S, [told, "ready"]);
        if load {
            s.load(S + wait, W1);
        } else {
            s.call(S + wait - 9 * MS, "a", "safe");
            s.attempt(S + wait, W1, "a", Some((200, "")), MS);
            s.answer(S + wait + 9 * MS, "a", "served");
        }
        let v = s.check(|_| {});
        assert_eq!(broken(&v), if kept { vec![] } else { vec![3] }, "{told} {wait} {load}");
    }
}

#[test]
fn rule_3_counts_a_workers_own_word_until_it_or_the_list_takes_it_back() {
    for (back, kept) in [(None, false), (Some("worker"), true), (Some("list"), true)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.call(S, "a", "safe");
        s.attempt(S + MS, W1, "a", Some((200, "stagehoist-worker: draining\r\n")), MS);
        s.answer(S + 9 * MS, "a", "served");
        match back {
            Some("worker") => {
                s.attempt(S + 500 * MS, W1, "x", Some((200, "stagehoist-worker: serving\r\n")), MS)
            }
            Some(_) => {
                s.list(S + 400 * MS, ["draining", "ready"]);
                s.list(S + 500 * MS, ["ready", "ready"]);
            }
            // A list that lags goes on saying ready; that takes nothing back.
            None => s.list(S + 500 * MS, ["ready", "ready"]),
        }
        s.call(3 * S, "b", "safe");
        s.attempt(3 * S + MS, W1, "b", Some((200, "")), MS);
        s.answer(3 * S + 9 * MS, "b", "served");
        assert_eq!(broken(&s.check(|_| {})).is_empty(), kept, "{back:?}");
    }
}

/// A process that started after a worker's word does not know it; one whose predecessor only began before it does.
#[test]
fn rule_3_asks_of_a_new_process_only_what_that_process_was_told() {
    for (began, kept) in [(None, false), (Some(900 * MS), false), (Some(2 * S), true)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(950 * MS, ["ready", "ready"]);
        s.call(S, "a", "safe");
        s.attempt(S + MS, W1, "a", Some((200, "stagehoist-worker: draining\r\n")), MS);
        s.answer(S + 9 * MS, "a", "served");
        s.list(2 * S + 100 * MS, ["ready", "ready"]);
        s.call(3 * S, "b", "safe");
        s.attempt(3 * S + MS, W1, "b", Some((200, "")), MS);
        s.answer(3 * S + 9 * MS, "b", "served");
        let verdict = s.check(|c| c.begun.extend(began.map(|at| (0, at))));
        assert_eq!(broken(&verdict).is_empty(), kept, "{began:?}: {:?}", verdict.rules[2]);
    }
}

#[test]
fn rule_4_broken_by_a_burst_at_a_cold_worker_of_which_the_front_end_was_told() {
    for (calls, kept) in [(6, true), (40, false)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(S, ["gone", "ready"]);
        s.list(2 * S, ["ready", "ready"]);
        for n in 0..calls {
            let (id, at) = (format!("c{n}"), 3 * S + n * 10 * MS);
            s.call(at, &id, "safe");
            s.attempt(at + 2 * MS, W1, &id, Some((200, "")), MS);
            s.answer(at + 5 * MS, &id, "served");
        }
        let start = WorkerStart { worker: "w1".into(), at: 1900 * MS, capacity: 10.0 };
        let v = s.check(|c| c.starts.push(start));
        assert_eq!(broken(&v), if kept { vec![] } else { vec![4] });
    }
}

#[test]
fn rule_5_broken_by_one_load_more_than_the_ration() {
    for (loads, kept) in [(2, true), (3, false)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.call(S, "a", "safe").answer(S + MS, "a", "refused");
        s.call(S, "b", "safe").answer(S + MS, "b", "refused");
        for n in 0..loads {
            s.load(2 * S + n * MS, W1);
        }
        assert_eq!(broken(&s.check(|_| {})).is_empty(), kept);
    }
}
