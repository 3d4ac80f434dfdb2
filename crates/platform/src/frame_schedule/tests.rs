use super::*;

const MS: Micros = 1000;
const S: Micros = 1_000_000;
/// Time from a request to its answer on a bus that is not late.
const ROUND_TRIP: Micros = 2 * MS;

/// Returns how late the empty frames of a connection may be that is requested at 0 and answered at once. Frame `n`
/// arrives `lateness(n)` after it was written.
fn lateness_of_frames(
    frames: i64,
    first_answer: Option<Micros>,
    lateness: impl Fn(i64) -> Micros,
) -> Vec<Micros> {
    let mut schedule = FrameSchedule::new(0);
    if let Some(answered_at) = first_answer {
        schedule.on_event(answered_at);
    }
    let frame = |number: i64| {
        let arrived_at = number * HEARTBEAT_INTERVAL + lateness(number);
        arrived_at - schedule.on_heartbeat(arrived_at, arrived_at)
    };
    (1..=frames).map(frame).collect()
}

#[test]
fn frames_that_arrive_in_time_are_not_late() {
    let lateness = lateness_of_frames(1000, Some(ROUND_TRIP), |_| ROUND_TRIP);
    assert!(lateness.iter().all(|lateness| *lateness <= ROUND_TRIP), "{lateness:?}");
}

/// Guards against trust in a connection whose frames are late from the first one on, at a constant interval.
#[test]
fn a_connection_that_is_late_from_its_first_frame_on_remains_late() {
    for late in [350, 1000, 1600] {
        let lateness = lateness_of_frames(100, Some(late * MS), |_| late * MS);
        assert!(lateness.iter().all(|lateness| *lateness >= late * MS), "{late} ms: {lateness:?}");
    }
}

#[test]
fn a_first_empty_frame_without_an_answer_may_be_as_old_as_the_request() {
    let lateness = lateness_of_frames(3, None, |_| ROUND_TRIP);
    assert_eq!(lateness, [S + ROUND_TRIP; 3]);
}

/// Guards against a lateness that grows so slowly that no interval between two frames shows it.
#[test]
fn a_lateness_that_grows_slowly_adds_up() {
    let lateness = lateness_of_frames(1000, Some(ROUND_TRIP), |number| number * MS);
    assert!((997 * MS..=S + ROUND_TRIP).contains(&lateness[999]), "{}", lateness[999]);
}

#[test]
fn a_lateness_that_begins_and_ends_shows_in_its_frames_alone() {
    let is_late = |number: i64| (5..8).contains(&number);
    let lateness =
        lateness_of_frames(10, Some(ROUND_TRIP), |number| if is_late(number) { S } else { ROUND_TRIP });
    let late_frames: Vec<bool> = lateness.iter().map(|lateness| *lateness > 100 * MS).collect();
    assert_eq!(late_frames, (1..=10).map(is_late).collect::<Vec<_>>());
}

#[test]
fn a_jump_before_the_first_empty_frame_is_detected() {
    let lateness = lateness_of_frames(2, Some(ROUND_TRIP), |_| 400 * MS);
    assert!(lateness.iter().all(|lateness| *lateness >= 398 * MS), "{lateness:?}");
}

#[test]
fn a_shorter_interval_does_not_hide_a_later_jump() {
    // The bus is ahead of the schedule by 10 ms a frame; the frames after the hundredth are late.
    let lateness = lateness_of_frames(101, Some(ROUND_TRIP), |number| {
        if number <= 100 {
            -10 * MS * number
        } else {
            -10 * MS * number + 500 * MS
        }
    });
    assert_eq!(lateness[99], 0);
    assert!(lateness[100] >= 489 * MS, "{}", lateness[100]);
}

#[test]
fn a_frame_that_was_read_late_is_not_a_late_frame() {
    let mut schedule = FrameSchedule::new(0);
    schedule.on_event(ROUND_TRIP);
    for number in 1..5 {
        let due_at = number * S;
        // Each frame waited in the socket for 300 ms.
        assert!(
            due_at + ROUND_TRIP - schedule.on_heartbeat(due_at + ROUND_TRIP, due_at + 300 * MS) <= ROUND_TRIP
        );
    }
}
