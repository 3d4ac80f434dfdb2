//! Tests of the front's prefetch window, its intake limits and the estimated age of messages, with the emulator
//! broker.

mod world;

use world::*;

#[test]
fn without_a_configured_prefetch_no_message_waits_at_the_broker() {
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
fn messages_beyond_the_limits_are_refused_with_retry_advice_and_held_calls_are_answered() {
    let mut w = World::new("");
    w.cut();
    let text = CONF.replace("prefetch 10 ", "") + "held-most 10\nretry-after-most 2s\n";
    w.front = Front::new(Rc::new(parse("test.conf", &text).unwrap()), 2, w.now);
    w.connect();
    for n in 0..40 {
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    let held = w.arrivals();
    assert_eq!(held.len(), 8, "a single queue and tenant may hold four fifths of the capacity");
    assert_eq!(w.caller.answers.len(), 32);
    assert!(w.caller.answers.iter().all(|a| a.1 == "refused" && a.2 == "too-many-held"));
    for arrival in held {
        let answer = Answer::Served { body: Bytes::new(), content_type: None };
        w.front.answer(arrival.ticket, answer, w.now);
    }
    w.settle();
    assert_eq!(w.caller.answers.len(), 40);
    w.publish("after", "free-times", |p| p);
    assert_eq!(w.arrivals().len(), 1, "the capacity was not released");
}

#[test]
fn the_age_of_a_backlog_without_timestamps_counts_from_when_its_queue_was_last_seen_empty() {
    let mut w = World::new("");
    w.front.on_socket_drained(w.now);
    w.cut();
    // Ten messages are published, one every 400 ms, while no front end is connected.
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
    // Messages older than 2.5 s are refused without running; the newest have most of their budget left.
    assert!((3..=5).contains(&late), "{:?}", w.caller.answers);
    assert!(budgets.windows(2).all(|b| b[0] < b[1]) && budgets[budgets.len() - 1] > 1_900_000, "{budgets:?}");
}

#[test]
fn a_timestamp_of_a_wrong_clock_is_harmless_while_the_queue_is_kept_empty() {
    let mut w = World::new("");
    w.front.on_socket_drained(w.now);
    // One publisher's clock is an hour slow, and another one's an hour fast.
    let seconds = |w: &World, offset: i64| ((w.now + 7_200_000_000) / 1_000_000 + offset) as u64;
    w.now += 7_200_000_000;
    w.front.on_socket_drained(w.now);
    for (id, offset) in [("behind", -3600), ("ahead", 3600)] {
        let timestamp = seconds(&w, offset) - 7200;
        w.publish(id, "free-times", |p| p.with_timestamp(timestamp));
        let budgets: Vec<i64> = w.arrivals().iter().map(|a| a.budget).collect();
        assert!(budgets.len() == 1 && budgets[0] > 2_300_000, "{id}: {budgets:?} {:?}", w.caller.answers);
        w.front.on_socket_drained(w.now);
    }
}
