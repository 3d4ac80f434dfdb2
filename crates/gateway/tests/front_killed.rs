//! A process that is killed while a reply is on its way, cut at each byte, and the front end that is delivered the
//! message next: what the caller gets of both.

mod world;

use world::{config, Front, World};

/// The outcomes of a call whose front dies once so many bytes of its reply left (all where there are fewer), and
/// how many bytes there were.
fn killed_after(bytes: usize, more: &str) -> (Vec<String>, usize) {
    let mut w = World::new(more);
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.front.flush(w.now);
    let out = w.front.client().unwrap().output().split();
    let number = w.front_at.take().unwrap();
    w.broker.receive(number, &out[..bytes.min(out.len())], w.now);
    w.broker.disconnect(number, w.now);
    // Another process, which remembers nothing.
    w.front = Front::new(config(more), 2, w.now);
    w.connect();
    assert!(w.arrivals().is_empty(), "an unsafe call runs twice");
    w.settle();
    (w.outcomes().iter().map(|o| o.1.to_string()).collect(), out.len())
}

/// Reply and acknowledgement take effect together or not at all.
#[test]
fn in_a_transaction_one_answer_comes_wherever_the_process_is_killed() {
    let (_, length) = killed_after(0, "replies transaction\n");
    assert!(length > 100);
    for bytes in 0..=length {
        let expected = if bytes == length { "served" } else { "failed" };
        assert_eq!(killed_after(bytes, "replies transaction\n").0, [expected], "{bytes} of {length}");
    }
}

/// What `replies confirm` can't promise: the broker passed the reply on and has no acknowledgement yet, so that the
/// message comes to another front end, which does not know of the reply. Nothing runs twice.
#[test]
fn with_confirms_a_process_that_is_killed_before_its_acknowledgement_leaves_a_second_answer() {
    let (_, length) = killed_after(0, "");
    for bytes in 0..length {
        assert_eq!(killed_after(bytes, "").0, ["failed"], "{bytes} of {length}");
    }
    assert_eq!(killed_after(length, "").0, ["served", "failed"]);
}
