//! Behaviour of queue ages, windows, intake and retry advice, driven by given times and counts.

use proptest::prelude::*;
use stagehoist_admission::*;

const MS: i64 = 1000;
const S: i64 = 1_000_000;

#[test]
fn a_recently_empty_queue_bounds_the_age_whatever_the_timestamp() {
    let mut age = QueueAge::default();
    age.on_empty(10 * S);
    // A clock an hour behind, and one an hour ahead.
    assert_eq!(age.on_message(Some(10 * S - 3600 * S), false, 10 * S + 40 * MS), 40 * MS);
    assert_eq!(age.on_message(Some(10 * S + 3600 * S), false, 10 * S + 40 * MS), 0);
    assert_eq!(age.on_message(Some(10 * S + 10 * MS), false, 10 * S + 40 * MS), 30 * MS);
}

#[test]
fn ages_in_a_backlog_since_the_queue_was_empty_follow_position() {
    let mut age = QueueAge::default();
    age.on_empty(0);
    age.on_reconnect();
    // An outage of 10 s left 1,000 messages: about one every 10 ms.
    age.on_depth(1000, 1, 10 * S);
    let ages: Vec<i64> = (0..1000).map(|_| age.on_message(None, false, 10 * S)).collect();
    assert!((9_900 * MS..=10 * S).contains(&ages[0]), "{}", ages[0]);
    assert!((4_900 * MS..5_100 * MS).contains(&ages[500]), "{}", ages[500]);
    assert!(ages[999] < 50 * MS, "{}", ages[999]);
    assert!(ages.windows(2).all(|w| w[1] <= w[0]), "oldest first");
    // A message that arrived after the depth report is at most as old as the report.
    assert!(age.on_message(None, false, 10 * S + 200 * MS) <= 200 * MS);
}

#[test]
fn ages_in_a_backlog_found_at_start_follow_the_rate_between_two_depths() {
    let mut age = QueueAge::default();
    age.on_depth(10_000, 1, 0);
    // So far it is only known that the message was queued at the first depth report.
    assert_eq!(age.on_message(None, false, 5 * MS), 5 * MS);
    // 100 arrivals in 250 ms, with one message received: 400 per second, so 10,000 messages took 25 s to arrive.
    age.on_depth(10_099, 1, 250 * MS);
    let first = age.on_message(None, false, 250 * MS);
    assert!((24 * S..26 * S).contains(&first), "{first}");
    (0..9_900).for_each(|_| assert!(age.on_message(None, false, 300 * MS) >= 0));
    let near_end = age.on_message(None, false, 300 * MS);
    assert!(near_end < S, "{near_end}");
}

#[test]
fn a_pause_within_a_backlog_does_not_mean_an_empty_queue() {
    let mut age = QueueAge::default();
    age.on_idle(0);
    assert!(age.needs_depth(0, S), "the age must be unsure before a depth is reported");
    age.on_depth(100, 1, S);
    (0..40).for_each(|_| assert!(age.on_message(None, false, 2 * S) >= S));
    age.on_idle(2 * S);
    assert_eq!(
        age.on_message(None, false, 3 * S),
        2 * S,
        "the message must be at least as old as the first depth report"
    );
    (0..59).for_each(|_| assert!(age.on_message(None, false, 3 * S) > 0));
    age.on_idle(4 * S);
    assert_eq!(age.on_message(Some(0), false, 4 * S + MS), MS);
}

#[test]
fn after_a_suspension_a_pause_means_nothing_until_the_depth_is_reported() {
    let mut age = QueueAge::default();
    age.on_empty(0);
    age.on_suspended();
    // The process was suspended for 2 s; the messages that arrived meanwhile are read in two parts.
    assert_eq!(age.on_message(Some(100 * MS), false, 2 * S), 1_900 * MS);
    age.on_idle(2 * S);
    assert_eq!(age.on_message(Some(500 * MS), false, 2 * S + 5 * MS), 1_505 * MS);
    age.on_depth(0, 1, 2 * S + 10 * MS);
    assert!(!age.awaits_depth());
    assert_eq!(age.on_message(Some(500 * MS), false, 2 * S + 20 * MS), 10 * MS);
}

#[test]
fn positions_are_scaled_by_the_number_of_consumers() {
    let mut age = QueueAge::default();
    age.on_empty(0);
    age.on_depth(900, 3, 9 * S);
    // With three consumers, the 100th message here is about the 300th of the queue.
    (0..99).for_each(|_| assert!(age.on_message(None, false, 9 * S) >= 0));
    let hundredth = age.on_message(None, false, 9 * S);
    assert!((5_900 * MS..6_100 * MS).contains(&hundredth), "{hundredth}");
}

#[test]
fn a_redelivered_message_has_no_position_in_the_queue() {
    let mut age = QueueAge::default();
    age.on_empty(0);
    assert_eq!(age.on_message(None, true, 3 * S), 0);
    assert_eq!(age.on_message(Some(S), true, 3 * S), 2 * S);
}

#[test]
fn the_window_stays_open_under_growing_load_and_narrows_after_it() {
    let mut window = Window::new(0);
    let mut asked = window.requested();
    let mut unsettled = 0usize;
    let mut blocked = 0;
    for ms in 0..4000 {
        // 4,000 messages per second arrive and a quarter of them are settled.
        for n in 0..4 {
            if unsettled < asked as usize {
                unsettled += 1;
                window.delivered();
            } else {
                blocked += 1;
            }
            unsettled -= usize::from(n == 0 && unsettled > 0);
        }
        asked = window.next_request(unsettled, ms * MS).unwrap_or(asked);
    }
    assert!(blocked < 40, "{blocked} of 16,000 messages waited in the broker");
    assert!(asked as usize > unsettled && (asked as usize) < unsettled + 8_000);
    let mut asks = 0;
    for ms in 4000..20_000 {
        if let Some(n) = window.next_request(0, ms * MS) {
            (asked, asks) = (n, asks + 1);
        }
    }
    assert!(asked <= 512 && asks < 20, "{asked} after {asks} changes");
}

#[test]
fn the_window_stays_small_at_a_low_message_rate() {
    let mut window = Window::new(0);
    // 200 messages per second, all settled at once, so that the window stays small for when settling stops.
    for ms in 0..5000 {
        if ms % 5 == 0 {
            window.delivered();
        }
        window.next_request(0, ms * MS);
    }
    assert!(window.requested() <= 256, "{}", window.requested());
}

#[test]
fn a_flood_leaves_room_for_others() {
    let mut intake = Intake::new(Bounds { calls: 1000, bytes: 1 << 20 });
    let mut flood = Vec::new();
    while let Ok(held) = intake.admit((0, 0), 10) {
        flood.push(held);
    }
    assert_eq!(flood.len(), 800);
    let steady: Vec<_> = (0..100).map(|_| intake.admit((0, 1), 10)).collect();
    assert!(steady.iter().all(Result::is_ok));
    assert_eq!(intake.admit((0, 0), 10), Err(Refusal::Calls));
    // The flooding class is admitted again only after part of its calls were released.
    flood.drain(..400).for_each(|held| intake.release(held));
    assert!(intake.admit((0, 0), 10).is_ok());
}

#[test]
fn bytes_are_bounded_and_one_large_call_fits() {
    let mut intake = Intake::new(Bounds { calls: 1000, bytes: 1000 });
    let large = intake.admit((0, 0), 1000).expect("a single call may use all bytes");
    assert_eq!(intake.admit((0, 1), 1), Err(Refusal::Bytes));
    intake.release(large);
    assert_eq!((intake.calls(), intake.bytes(), intake.tenant_classes()), (0, 0, 0));
    assert_eq!(intake.admit((0, 0), 1001), Err(Refusal::Bytes));
}

#[test]
fn advised_delays_follow_the_rate_of_ending_calls_and_are_spread() {
    let mut advice = Advice::new(5 * S, 7, 0);
    // No call has ended yet, so the advised delay is long.
    assert!((0..50).all(|_| advice.retry_after(10) > S));
    // 100 calls per second end and 50 are held: a mean delay of 0.5 s.
    (0..400).for_each(|n| advice.on_departure(n * 10 * MS));
    let delays: Vec<i64> = (0..400).map(|_| advice.retry_after(50)).collect();
    assert!(delays.iter().all(|t| (240 * MS..=760 * MS).contains(t)));
    let in_a_tenth = |from: i64| delays.iter().filter(|t| (from..from + 50 * MS).contains(*t)).count();
    assert!((250..750).step_by(50).all(|ms| in_a_tenth(ms * MS) < 80), "retries are not spread out");
    assert!((0..200).all(|_| advice.retry_after(1_000_000) <= 5 * S));
}

proptest! {
    #[test]
    fn held_calls_and_bytes_never_exceed_the_limits(steps in prop::collection::vec((0u32..4, 0u32..3, 0u64..400, any::<bool>()), 1..400)) {
        let bounds = Bounds { calls: 50, bytes: 2000 };
        let mut intake = Intake::new(bounds);
        let mut held = Vec::new();
        for (queue, tenant, bytes, release) in steps {
            if release && !held.is_empty() {
                intake.release(held.swap_remove(bytes as usize % held.len()));
            } else if let Ok(h) = intake.admit((queue, tenant), bytes) {
                held.push(h);
            }
            prop_assert!(intake.calls() <= bounds.calls && intake.bytes() <= bounds.bytes);
            prop_assert_eq!(intake.calls(), held.len() as u64);
        }
        held.into_iter().for_each(|h| intake.release(h));
        prop_assert_eq!((intake.calls(), intake.bytes(), intake.tenant_classes()), (0, 0, 0));
    }

    #[test]
    fn an_age_is_never_negative_nor_greater_than_the_time_since_the_queue_was_empty(
        steps in prop::collection::vec((0u8..4, 0u64..500, 1u64..4, 0i64..400), 1..200),
    ) {
        let (mut age, mut now, mut empty) = (QueueAge::default(), S, None);
        for (what, n, consumers, after) in steps {
            now += after * MS;
            match what {
                0 => { age.on_empty(now); empty = Some(now); }
                1 => { age.on_depth(n, consumers, now); if n == 0 { empty = Some(now) } }
                2 => age.on_reconnect(),
                _ => {
                    let stamp = (n % 2 == 0).then_some(now - n as i64 * 10 * MS);
                    let got = age.on_message(stamp, false, now);
                    prop_assert!(got >= 0);
                    prop_assert!(empty.is_none_or(|t| got <= now - t), "{} at {}, empty {:?}", got, now, empty);
                }
            }
        }
    }
}
