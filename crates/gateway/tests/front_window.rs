//! The front's window, its bounds and the ages of messages, against the emulator broker.

mod world;

use world::*;

#[test]
fn without_a_told_prefetch_nothing_waits_in_the_broker() {
    let text = CONF.replace("prefetch 10 ", "");
    let config = Rc::new(parse("test.conf", &text).unwrap());
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(config, 2, w.now);
    w.connect();
    for n in 0..1500 {
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    w.front.tick(w.now);
    w.settle();
    assert_eq!(w.arrivals().len(), 1500);
    assert!(w.front.counters.windows > 0);
}

#[test]
fn beyond_the_bounds_each_message_is_refused_with_advice_and_what_was_held_is_answered() {
    let mut w = World::new("");
    w.cut();
    let text = CONF.replace("prefetch 10 ", "") + "held-most 10\nretry-after-most 2s\n";
    w.front = Front::new(Rc::new(parse("test.conf", &text).unwrap()), 2, w.now);
    w.connect();
    for n in 0..40 {
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    let held = w.arrivals();
    assert_eq!(held.len(), 8, "one party alone fills four fifths");
    assert_eq!(w.caller.answers.len(), 32);
    assert!(w.caller.answers.iter().all(|a| a.1 == "refused" && a.2 == "too-many-held"));
    for arrival in held {
        let answer = Answer::Served { body: Bytes::new(), content_type: None };
        w.front.answer(arrival.ticket, answer, w.now);
    }
    w.settle();
    assert_eq!(w.caller.answers.len(), 40);
    w.publish("after", "free-times", |p| p);
    assert_eq!(w.arrivals().len(), 1, "the room was given back");
}

#[test]
fn a_backlog_without_stamps_is_dated_by_when_its_queue_was_last_seen_empty() {
    let mut w = World::new("");
    w.front.on_socket_drained(w.now);
    w.cut();
    // Ten messages, one each 400 ms, while no front end is there.
    for n in 0..10 {
        w.now += 400_000;
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    w.front.pause();
    w.connect();
    w.settle();
    let budgets: Vec<i64> = w.arrivals().iter().map(|a| a.budget).collect();
    let late = w.caller.answers.iter().filter(|a| a.2 == "too-late").count();
    assert_eq!(late + budgets.len(), 10);
    // Those older than 2.5 s are answered without running; the youngest have most of their time left.
    assert!((3..=5).contains(&late), "{:?}", w.caller.answers);
    assert!(budgets.windows(2).all(|b| b[0] < b[1]) && budgets[budgets.len() - 1] > 1_900_000, "{budgets:?}");
}

#[test]
fn a_stamp_from_a_wrong_clock_does_no_harm_to_a_queue_that_is_kept_empty() {
    let mut w = World::new("");
    w.front.on_socket_drained(w.now);
    // A publisher whose clock is an hour behind, and one whose clock is an hour ahead.
    let seconds = |w: &World, by: i64| ((w.now + 7_200_000_000) / 1_000_000 + by) as u64;
    w.now += 7_200_000_000;
    w.front.on_socket_drained(w.now);
    for (id, by) in [("behind", -3600), ("ahead", 3600)] {
        let at = seconds(&w, by) - 7200;
        w.publish(id, "free-times", |p| p.with_timestamp(at));
        let budgets: Vec<i64> = w.arrivals().iter().map(|a| a.budget).collect();
        assert!(budgets.len() == 1 && budgets[0] > 2_300_000, "{id}: {budgets:?} {:?}", w.caller.answers);
        w.front.on_socket_drained(w.now);
    }
}
