//! A process is killed while it sends a reply, after each possible number of bytes, and the message is redelivered to
//! another front end. Checks which answers the caller receives from both.

mod world;

use world::{config, Front, World};

/// Returns the outcomes of a call whose front is killed after `bytes` bytes of its reply were sent (or all, if there
/// are fewer), and the number of bytes of the reply.
fn killed_after(bytes: usize, more: &str) -> (Vec<String>, usize) {
    let mut w = World::new(more);
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.front.flush(w.now);
    let output = w.front.client().unwrap().output().split();
    let connection = w.front_at.take().unwrap();
    w.broker.receive(connection, &output[..bytes.min(output.len())], w.now);
    w.broker.disconnect(connection, w.now);
    // A new process without the earlier one's state.
    w.front = Front::new(config(more), 2, w.now);
    w.connect();
    assert!(w.arrivals().is_empty(), "a non-idempotent call runs twice");
    w.settle();
    (w.outcomes().iter().map(|o| o.1.to_string()).collect(), output.len())
}

/// The reply and the acknowledgement take effect together or not at all.
#[test]
fn in_a_transaction_one_answer_comes_wherever_the_process_is_killed() {
    let (_, length) = killed_after(0, "replies transaction\n");
    assert!(length > 100);
    for bytes in 0..=length {
        let expected = if bytes == length { "served" } else { "failed" };
        assert_eq!(killed_after(bytes, "replies transaction\n").0, [expected], "{bytes} of {length}");
    }
}

/// The case that `replies confirm` can't prevent: the broker has routed the reply but has not received the
/// acknowledgement, so it redelivers the message to another front end, which does not know of the reply. The call
/// still runs only once.
#[test]
fn with_confirms_a_process_that_is_killed_before_its_acknowledgement_leaves_a_second_answer() {
    let (_, length) = killed_after(0, "");
    for bytes in 0..length {
        assert_eq!(killed_after(bytes, "").0, ["failed"], "{bytes} of {length}");
    }
    assert_eq!(killed_after(length, "").0, ["served", "failed"]);
}
