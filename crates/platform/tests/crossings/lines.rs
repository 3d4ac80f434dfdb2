//! Orders and given-up requests behind bytes that are not yet written.

use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::Input;
use stagehoist_platform::connection::{ConnectionState, Exchange, ProtocolViolation, RunRequest};

const MS: Micros = 1000;

/// A request whose client waits for no more than a moment.
const RUN: RunRequest<'static> = RunRequest { class: "look", function: "07", deadline: 0 };

fn run(line: &mut ConnectionState, id: u64) -> bool {
    let what = Exchange::Attempt { request: id as u32, attempt: 0 };
    line.send_request((id, &format!("{id:016x}")), &RUN, b"body", what, 0)
}

fn hold(line: &mut ConnectionState, sent: Micros) {
    line.send_load(
        "7f3a9c21e0b4d655",
        1,
        Exchange::Load { worker: 3, function: 9, sent, start_by: Micros::MAX },
        sent,
    );
}

/// Writes so many bytes, or all that waits.
fn write(line: &mut ConnectionState, most: usize, now: Micros) -> String {
    let mut bytes = Vec::new();
    line.fill_write(&mut bytes, now);
    bytes.truncate(most);
    line.on_written(bytes.len(), now);
    String::from_utf8(bytes).unwrap()
}

fn read(line: &mut ConnectionState, text: &str, now: Micros, news: &mut Vec<Input>) {
    line.receive(text.as_bytes(), (now, now), &[], news).unwrap();
}

fn loaded(news: &[Input]) -> usize {
    news.iter().filter(|n| matches!(n, Input::Loaded { outcome: Outcome::Timeout, .. })).count()
}

fn outcomes(news: &[Input]) -> Vec<(u32, Outcome)> {
    let end = |n: &Input| match n {
        Input::AttemptEnded { request, result, .. } => Some((*request, result.outcome)),
        _ => None,
    };
    news.iter().filter_map(end).collect()
}

#[test]
fn an_order_of_which_a_part_is_written_goes_with_its_connection_when_it_is_lost() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    assert!(run(&mut line, 1));
    write(&mut line, usize::MAX, 0);
    hold(&mut line, 10 * MS);
    write(&mut line, 5, 10 * MS);
    // Other answers came on the connection since.
    read(&mut line, "0000000000000001 MISS - 0\r\n\r\n", 900 * MS, &mut news);
    assert_eq!(line.expire(1009 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Err(ProtocolViolation::Silent));
}

#[test]
fn an_order_written_late_lies_on_its_way_until_something_came_after_that() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    run(&mut line, 1);
    write(&mut line, usize::MAX, 0);
    hold(&mut line, 10 * MS);
    read(&mut line, "77 UP\r\n", 400 * MS, &mut news);
    write(&mut line, usize::MAX, 500 * MS);
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Err(ProtocolViolation::Silent));
    read(&mut line, "77 UP\r\n", 1011 * MS, &mut news);
    assert_eq!(line.expire(1012 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!(loaded(&news), 1);
}

#[test]
fn an_order_that_waited_for_too_long_is_never_begun_and_costs_no_connection() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    run(&mut line, 1);
    write(&mut line, 3, 0);
    hold(&mut line, 10 * MS);
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!((loaded(&news), line.attempts()), (1, 1));
    assert!(!write(&mut line, usize::MAX, 1011 * MS).contains("HOLD"));
    // Between two looks the socket may take bytes again.
    hold(&mut line, 2000 * MS);
    line.withdraw_overdue(2999 * MS, 1000 * MS, &mut news);
    assert_eq!(loaded(&news), 1);
    line.withdraw_overdue(3000 * MS, 1000 * MS, &mut news);
    assert_eq!((loaded(&news), write(&mut line, usize::MAX, 3000 * MS)), (2, String::new()));
}

#[test]
fn an_id_that_was_given_up_is_not_used_again_where_its_answer_may_still_come() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    run(&mut line, 1);
    run(&mut line, 2);
    write(&mut line, usize::MAX, 0);
    line.abandon(1, "0000000000000001", MS, 250 * MS);
    write(&mut line, usize::MAX, MS);
    assert!(line.has(1) && !run(&mut line, 1), "the answer on its way would be the new one's");
    read(&mut line, "0000000000000001 MISS - 0\r\n\r\n", 2 * MS, &mut news);
    assert!(outcomes(&news).is_empty());
    assert!(run(&mut line, 1), "it came");
}

#[test]
fn what_was_refused_before_it_was_whole_is_written_whole_though_it_is_asked_again() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    run(&mut line, 1);
    let first = write(&mut line, 9, 0);
    read(&mut line, "0000000000000001 BUSY\r\n", MS, &mut news);
    assert_eq!(outcomes(&news), [(1, Outcome::Full)]);
    assert!(!run(&mut line, 1), "its first bytes would be taken for the new one's");
    run(&mut line, 2);
    line.abandon(2, "0000000000000002", MS, 250 * MS);
    line.withdraw(MS, &mut news);
    assert_eq!(
        first + &write(&mut line, usize::MAX, MS),
        "RUN 0000000000000001 class=look,key=07,wait=1 4\r\nbody\r\n"
    );
    assert!(run(&mut line, 1));
}

#[test]
fn what_is_given_up_with_a_part_written_ends_a_connection_on_which_nothing_else_began() {
    let mut line = ConnectionState::new(0);
    run(&mut line, 1);
    run(&mut line, 2);
    write(&mut line, 9, 0);
    assert!(line.abandon(1, "0000000000000001", MS, 250 * MS));
    let mut news = Vec::new();
    line.end(stagehoist_platform::connection::Closure::ProtocolViolated, MS, &mut news);
    assert_eq!(outcomes(&news), [(2, Outcome::ConnectFailed)]);
    // Where another may be in progress there, the rest is not written either, nor anything else: what waits is
    // withdrawn, and the connection ends with the last that began.
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    (1..=4).for_each(|id| assert!(run(&mut line, id)));
    let whole = "RUN 0000000000000001 class=look,key=07,wait=1 4\r\nbody\r\n".len();
    write(&mut line, 2 * whole, 0);
    line.send_health_check(false, Exchange::HealthCheck { worker: 3, sent: 0 }, 0);
    write(&mut line, 9, 0);
    assert!(!line.abandon(3, "0000000000000003", MS, 250 * MS));
    assert!(line.is_truncated() && !line.wants_write());
    line.withdraw(MS, &mut news);
    assert!(matches!(
        news[..],
        [Input::HealthChecked { .. }, Input::AttemptEnded { request: 4, .. }]
            | [Input::AttemptEnded { request: 4, .. }, Input::HealthChecked { .. }]
    ));
    // Nothing of it ran, and the executor did nothing to be ejected for.
    assert_eq!(outcomes(&news), [(4, Outcome::Full)]);
    assert!(!line.abandon(2, "0000000000000002", 2 * MS, 250 * MS) && !line.wants_write());
    assert!(!line.is_spent());
    read(&mut line, "0000000000000001 OK - 2\r\nhi\r\n", 3 * MS, &mut news);
    assert_eq!(outcomes(&news)[1..], [(1, Outcome::Ok)]);
    assert!(line.is_spent());
}

#[test]
fn a_probe_that_is_given_up_with_a_part_written_is_written_whole() {
    let (mut line, mut news) = (ConnectionState::new(0), Vec::new());
    line.send_health_check(false, Exchange::HealthCheck { worker: 3, sent: 0 }, 0);
    run(&mut line, 1);
    let part = write(&mut line, 3, 0);
    assert_eq!(line.expire(250 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert!(matches!(news[..], [Input::HealthChecked { outcome: Outcome::Timeout, .. }]));
    assert!((part + &write(&mut line, usize::MAX, 251 * MS)).starts_with("NOOP 1\r\nRUN "));
}
