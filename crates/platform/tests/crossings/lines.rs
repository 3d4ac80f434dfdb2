//! Load orders and abandoned requests that are queued behind unwritten bytes.

use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::Input;
use stagehoist_platform::connection::{ConnectionState, Exchange, ProtocolViolation, RunRequest};

pub const MS: Micros = 1000;

/// A request whose client waits for the minimum time.
const RUN: RunRequest<'static> = RunRequest { class: "look", function: "07", deadline: 0 };

pub fn run(conn: &mut ConnectionState, id: u64) -> bool {
    let exchange = Exchange::Attempt { request: id as u32, attempt: 0 };
    conn.send_request((id, &format!("{id:016x}")), &RUN, b"body", exchange, 0)
}

fn order_load(conn: &mut ConnectionState, sent: Micros) {
    conn.send_load(
        "7f3a9c21e0b4d655",
        1,
        Exchange::Load { worker: 3, function: 9, sent, start_by: Micros::MAX },
        sent,
    );
}

/// Writes at most this number of bytes.
pub fn write(conn: &mut ConnectionState, max: usize, now: Micros) -> String {
    let mut bytes = Vec::new();
    conn.fill_write(&mut bytes, now);
    bytes.truncate(max);
    conn.on_written(bytes.len(), now);
    String::from_utf8(bytes).unwrap()
}

pub fn read(conn: &mut ConnectionState, text: &str, now: Micros, inputs: &mut Vec<Input>) {
    conn.receive(text.as_bytes(), (now, now), &[], inputs).unwrap();
}

fn timed_out_loads(inputs: &[Input]) -> usize {
    inputs.iter().filter(|n| matches!(n, Input::Loaded { outcome: Outcome::Timeout, .. })).count()
}

pub fn outcomes(inputs: &[Input]) -> Vec<(u32, Outcome)> {
    let end = |n: &Input| match n {
        Input::AttemptEnded { request, result, .. } => Some((*request, result.outcome)),
        _ => None,
    };
    inputs.iter().filter_map(end).collect()
}

#[test]
fn a_partly_written_load_order_that_timed_out_ends_its_connection() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    assert!(run(&mut conn, 1));
    write(&mut conn, usize::MAX, 0);
    order_load(&mut conn, 10 * MS);
    write(&mut conn, 5, 10 * MS);
    // Other answers arrived on the connection since.
    read(&mut conn, "0000000000000001 MISS - 0\r\n\r\n", 900 * MS, &mut inputs);
    assert_eq!(conn.expire(1009 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert_eq!(conn.expire(1010 * MS, 250 * MS, 1000 * MS, &mut inputs), Err(ProtocolViolation::Silent));
}

#[test]
fn a_load_order_written_late_counts_as_in_transit_until_data_is_read() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    run(&mut conn, 1);
    write(&mut conn, usize::MAX, 0);
    order_load(&mut conn, 10 * MS);
    read(&mut conn, "77 UP\r\n", 400 * MS, &mut inputs);
    write(&mut conn, usize::MAX, 500 * MS);
    assert_eq!(conn.expire(1010 * MS, 250 * MS, 1000 * MS, &mut inputs), Err(ProtocolViolation::Silent));
    read(&mut conn, "77 UP\r\n", 1011 * MS, &mut inputs);
    assert_eq!(conn.expire(1012 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert_eq!(timed_out_loads(&inputs), 1);
}

#[test]
fn a_load_order_queued_for_too_long_is_not_started_and_keeps_the_connection() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    run(&mut conn, 1);
    write(&mut conn, 3, 0);
    order_load(&mut conn, 10 * MS);
    assert_eq!(conn.expire(1010 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert_eq!((timed_out_loads(&inputs), conn.attempts()), (1, 1));
    assert!(!write(&mut conn, usize::MAX, 1011 * MS).contains("HOLD"));
    // Between two checks the socket may accept bytes again.
    order_load(&mut conn, 2000 * MS);
    conn.withdraw_overdue(2999 * MS, 1000 * MS, &mut inputs);
    assert_eq!(timed_out_loads(&inputs), 1);
    conn.withdraw_overdue(3000 * MS, 1000 * MS, &mut inputs);
    assert_eq!((timed_out_loads(&inputs), write(&mut conn, usize::MAX, 3000 * MS)), (2, String::new()));
}

#[test]
fn an_abandoned_id_is_not_reused_while_its_answer_may_still_arrive() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    run(&mut conn, 1);
    run(&mut conn, 2);
    write(&mut conn, usize::MAX, 0);
    conn.abandon(1, "0000000000000001", MS, 250 * MS);
    write(&mut conn, usize::MAX, MS);
    assert!(
        conn.has(1) && !run(&mut conn, 1),
        "the answer in transit would be attributed to the new request"
    );
    read(&mut conn, "0000000000000001 MISS - 0\r\n\r\n", 2 * MS, &mut inputs);
    assert!(outcomes(&inputs).is_empty());
    assert!(run(&mut conn, 1), "the id is not free after its answer arrived");
}

#[test]
fn a_request_rejected_before_it_was_written_is_completed_even_if_repeated() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    run(&mut conn, 1);
    let first = write(&mut conn, 9, 0);
    read(&mut conn, "0000000000000001 BUSY\r\n", MS, &mut inputs);
    assert_eq!(outcomes(&inputs), [(1, Outcome::Full)]);
    assert!(!run(&mut conn, 1), "its first bytes would be taken for those of the new request");
    run(&mut conn, 2);
    conn.abandon(2, "0000000000000002", MS, 250 * MS);
    conn.withdraw(MS, &mut inputs);
    assert_eq!(
        first + &write(&mut conn, usize::MAX, MS),
        "RUN 0000000000000001 class=look,key=07,wait=1 4\r\nbody\r\n"
    );
    assert!(run(&mut conn, 1));
}

#[test]
fn abandoning_a_partly_written_request_ends_a_connection_without_other_started_ones() {
    let mut conn = ConnectionState::new(0);
    run(&mut conn, 1);
    run(&mut conn, 2);
    write(&mut conn, 9, 0);
    assert!(conn.abandon(1, "0000000000000001", MS, 250 * MS));
    let mut inputs = Vec::new();
    conn.end(stagehoist_platform::connection::Closure::ProtocolViolated, MS, &mut inputs);
    assert_eq!(outcomes(&inputs), [(2, Outcome::ConnectFailed)]);
    // If another request may be in progress on the connection, the rest is not written either, nor anything else:
    // queued requests are withdrawn, and the connection ends with the last one that was started.
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    (1..=4).for_each(|id| assert!(run(&mut conn, id)));
    let whole = "RUN 0000000000000001 class=look,key=07,wait=1 4\r\nbody\r\n".len();
    write(&mut conn, 2 * whole, 0);
    conn.send_health_check(false, Exchange::HealthCheck { worker: 3, sent: 0 }, 0);
    write(&mut conn, 9, 0);
    assert!(!conn.abandon(3, "0000000000000003", MS, 250 * MS));
    assert!(conn.is_truncated() && !conn.wants_write());
    conn.withdraw(MS, &mut inputs);
    assert!(matches!(
        inputs[..],
        [Input::HealthChecked { .. }, Input::AttemptEnded { request: 4, .. }]
            | [Input::AttemptEnded { request: 4, .. }, Input::HealthChecked { .. }]
    ));
    // Request 4 did not run, and the executor must not be ejected for it.
    assert_eq!(outcomes(&inputs), [(4, Outcome::Full)]);
    assert!(!conn.abandon(2, "0000000000000002", 2 * MS, 250 * MS) && !conn.wants_write());
    assert!(!conn.is_spent());
    read(&mut conn, "0000000000000001 OK - 2\r\nhi\r\n", 3 * MS, &mut inputs);
    assert_eq!(outcomes(&inputs)[1..], [(1, Outcome::Ok)]);
    assert!(conn.is_spent());
}

#[test]
fn a_partly_written_health_check_that_timed_out_is_completed() {
    let (mut conn, mut inputs) = (ConnectionState::new(0), Vec::new());
    conn.send_health_check(false, Exchange::HealthCheck { worker: 3, sent: 0 }, 0);
    run(&mut conn, 1);
    let part = write(&mut conn, 3, 0);
    assert_eq!(conn.expire(250 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert!(matches!(inputs[..], [Input::HealthChecked { outcome: Outcome::Timeout, .. }]));
    assert!((part + &write(&mut conn, usize::MAX, 251 * MS)).starts_with("NOOP 1\r\nRUN "));
}
