//! An answer is unread in its socket when a hedged request for the same call is about to start.

use crate::stage::{listen, on_one_thread, Peer, Stage};
use bytes::Bytes;
use stagehoist::Outcome;
use std::io::Write;

#[test]
fn no_hedged_copy_begins_while_the_answer_to_the_first_lies_unread() {
    on_one_thread(async {
        let ((first, first_address), (second, second_address)) = (listen(8), listen(8));
        let mut stage = Stage::new(4, 64);
        stage.worker_at(1, first_address);
        stage.worker_at(2, second_address);
        let body = || Bytes::from_static(b"x");
        stage.start_at(1, 5, body());
        stage.start_at(2, 6, body());
        stage.executors.flush_all();
        let mut answering = Peer::accept(&stage, &first).await;
        let mut other = Peer::accept(&stage, &second).await;
        stage.until(|| answering.has("RUN 0000000000000005")).await;
        stage.until(|| other.has("RUN 0000000000000006")).await;
        // The answer arrives and the hedged request is selected before the front end runs again.
        write!(answering.stream, "0000000000000005 OK - 2\r\nhi\r\n").unwrap();
        stage.start_attempt_at(2, (5, 1), body());
        stage.executors.flush_all();
        assert_eq!(stage.executors.counters.get().egress.answer_unread, 1);
        let ends = [stage.end().await, stage.end().await];
        assert!(ends.contains(&(5, Outcome::Full)) && ends.contains(&(5, Outcome::Ok)), "{ends:?}");
        assert!(!other.has("RUN 0000000000000005"));
        assert_eq!(stage.executors.counters.get().egress.violations, 0);
    });
}
