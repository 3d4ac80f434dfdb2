use super::*;

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut b = ((HEAD + payload.len()) as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(kind);
    b.extend(payload);
    b
}

fn numbers(inputs: &[EndpointEvent]) -> Vec<u64> {
    inputs.iter().map(|e| e.number).collect()
}

#[test]
fn numbers_decide_what_is_news() {
    let (mut bus, mut inputs) = (EventSubscription::new(3, 0), Vec::new());
    assert_eq!(bus.connected(0), 3u64.to_be_bytes());
    let mut bytes = frame(3, 2, &[]);
    bytes.extend(frame(4, 2, &[0; 27]));
    bytes.extend(frame(4, 2, &[0; 27]));
    bytes.extend(frame(4, 0, &[]));
    bytes.extend(frame(5, 1, &[]));
    for piece in bytes.chunks(5) {
        bus.feed(piece, (10, 10), &mut inputs).unwrap();
    }
    assert_eq!((numbers(&inputs), bus.last(), bus.silent_at()), (vec![4, 5], 5, 10 + SILENCE));
}

#[test]
fn a_frame_cut_off_is_dropped_whole_and_told_again() {
    let (mut bus, mut inputs) = (EventSubscription::new(0, 0), Vec::new());
    let bytes = frame(1, 1, &[0; 54]);
    bus.feed(&bytes[..40], (0, 0), &mut inputs).unwrap();
    assert_eq!(bus.connected(1), 0u64.to_be_bytes());
    bus.feed(&bytes, (2, 2), &mut inputs).unwrap();
    assert_eq!(numbers(&inputs), [1]);
}

#[test]
fn a_gap_is_asked_for_once_and_then_taken_as_it_is() {
    let (mut bus, mut inputs) = (EventSubscription::new(1, 0), Vec::new());
    let gap = Err(SubscriptionError::Gap { expected: 2, got: 4 });
    assert_eq!(bus.feed(&frame(4, 2, &[]), (0, 0), &mut inputs), gap);
    bus.connected(1);
    bus.feed(&frame(4, 2, &[]), (1, 1), &mut inputs).unwrap();
    assert_eq!(numbers(&inputs), [4]);
}

#[test]
fn absurd_frames_end_the_connection_before_anything_is_kept() {
    for length in [0u32, 8, 1 << 30, u32::MAX] {
        let mut bus = EventSubscription::new(0, 0);
        let fed = bus.feed(&length.to_be_bytes(), (0, 0), &mut Vec::new());
        assert_eq!(fed, Err(SubscriptionError::Length(length as usize)));
    }
    let mut bus = EventSubscription::new(0, 0);
    assert!(matches!(
        bus.feed(&frame(1, 7, &[]), (0, 0), &mut Vec::new()),
        Err(SubscriptionError::Event { .. })
    ));
}

#[test]
fn connections_follow_at_once_and_then_with_short_pauses() {
    let mut bus = EventSubscription::new(0, 0);
    let pauses: Vec<_> = (0..6).map(|_| bus.pause() / 1000).collect();
    assert_eq!(pauses, [0, 50, 100, 200, 400, 400]);
    bus.feed(&frame(0, 0, &[]), (0, 0), &mut Vec::new()).unwrap();
    assert_eq!(bus.pause(), 0);
}

/// A record of executor `id`: 0 ready, 1 draining, 2 gone, others unknown.
fn row(id: u32, state: u8) -> Vec<u8> {
    let mut b = id.to_be_bytes().to_vec();
    b.extend([127, 0, 0, 1, 0, 9, state, 0, 0, 0, 0]);
    b.extend([0; 12]);
    b
}

fn states(event: &EndpointEvent) -> Vec<(u32, u8)> {
    event.endpoints.iter().map(|t| (t.endpoint.worker, t.endpoint.lifecycle as u8)).collect()
}

#[test]
fn after_a_gap_all_events_are_told_anew_and_count_as_one_list() {
    let (mut bus, mut inputs) = (EventSubscription::new(1, 0), Vec::new());
    bus.feed(&frame(2, 2, &row(1, 1)), (0, 0), &mut inputs).unwrap();
    // Event 3, a drain, is missing.
    let gap = Err(SubscriptionError::Gap { expected: 3, got: 4 });
    assert_eq!(bus.feed(&frame(4, 2, &row(3, 2)), (0, 0), &mut inputs), gap);
    assert_eq!((bus.connected(1), numbers(&inputs)), (0u64.to_be_bytes(), vec![2]));
    let whole = [row(1, 0), row(2, 0), row(3, 0)].concat();
    let events = [
        frame(1, 1, &whole),
        frame(2, 2, &row(1, 1)),
        frame(3, 2, &row(2, 1)),
        frame(4, 2, &row(3, 2)),
        frame(5, 2, &row(4, 0)),
    ];
    inputs.clear();
    // The connection ends on the way: nothing of it counts, as executor 1 would seem ready once more.
    bus.feed(&events[..2].concat(), (1, 1), &mut inputs).unwrap();
    assert_eq!((inputs.len(), bus.connected(2)), (0, 0u64.to_be_bytes()));
    for piece in events.concat().chunks(7) {
        bus.feed(piece, (2, 2), &mut inputs).unwrap();
    }
    assert_eq!((numbers(&inputs), bus.last()), (vec![4, 5], 5));
    assert_eq!((inputs[0].kind, states(&inputs[0])), (EndpointUpdate::Full, vec![(1, 1), (2, 1)]));
    assert_eq!((inputs[1].kind, states(&inputs[1])), (EndpointUpdate::Delta, vec![(4, 0)]));
    assert_eq!(bus.connected(3), 5u64.to_be_bytes());
}

#[test]
fn an_event_that_cannot_be_read_is_asked_for_once_more_and_holds_up_nothing() {
    let (mut bus, mut inputs) = (EventSubscription::new(1, 0), Vec::new());
    let bad = [row(1, 1), row(2, 9)].concat();
    let all = [frame(2, 2, &bad), frame(3, 9, &[1, 2]), frame(4, 1, &bad[..40]), frame(5, 2, &row(4, 1))];
    let mut ends = 0;
    while bus.last() < 5 {
        assert!(ends < 4, "asked again and again for {:?}", bus.connected(0));
        let next = (bus.last() - 1) as usize;
        bus.connected(0);
        if bus.feed(&all[next..].concat(), (0, 0), &mut inputs).is_err() {
            ends += 1;
        }
    }
    assert_eq!((ends, numbers(&inputs)), (3, vec![2, 3, 4, 5]));
    let settings: Vec<_> = inputs.iter().map(|e| (e.kind, states(e))).collect();
    let changes = |rows: &[(u32, u8)]| (EndpointUpdate::Delta, rows.to_vec());
    // What is left of a whole list makes no one gone.
    assert_eq!(settings, [changes(&[(1, 1)]), changes(&[]), changes(&[(1, 1)]), changes(&[(4, 1)])]);
}

#[test]
fn a_bus_that_lost_its_events_is_followed_from_its_first_one() {
    let (mut bus, mut inputs) = (EventSubscription::new(40, 0), Vec::new());
    bus.feed(&frame(40, 0, &[]), (0, 0), &mut inputs).unwrap();
    let back = Err(SubscriptionError::Regressed { last: 40, got: 2 });
    assert_eq!(bus.feed(&frame(2, 0, &[]), (1, 1), &mut inputs), back);
    assert_eq!(bus.connected(2), 0u64.to_be_bytes());
    let events =
        [frame(1, 1, &row(1, 0)), frame(2, 2, &row(1, 1)), frame(2, 0, &[]), frame(3, 2, &row(2, 0))];
    bus.feed(&events.concat(), (2, 2), &mut inputs).unwrap();
    assert_eq!((numbers(&inputs), bus.last()), (vec![2, 3], 3));
    assert_eq!((inputs[0].kind, states(&inputs[0])), (EndpointUpdate::Full, vec![(1, 1)]));
}

#[test]
fn empty_frames_with_other_numbers_cost_one_connection_at_most() {
    // Never with the number of the last event: they say nothing.
    let (mut bus, mut inputs) = (EventSubscription::new(40, 0), Vec::new());
    for number in [0, 1, 39, 41, 7] {
        bus.feed(&frame(number, 0, &[]), (0, 0), &mut inputs).unwrap();
    }
    // Once with it, by chance: all events are still there.
    bus.feed(&[frame(40, 0, &[]), frame(41, 2, &row(1, 1))].concat(), (0, 0), &mut inputs).unwrap();
    assert!(bus.feed(&frame(40, 0, &[]), (0, 0), &mut inputs).is_err());
    bus.connected(1);
    inputs.clear();
    let all: Vec<u8> =
        (1..=41).flat_map(|n| frame(n, if n == 1 { 1 } else { 2 }, &row(1, u8::from(n > 40)))).collect();
    bus.feed(&all, (1, 1), &mut inputs).unwrap();
    assert_eq!((numbers(&inputs), states(&inputs[0])), (vec![41], vec![(1, 1)]));
    for number in [40, 1, 0] {
        bus.feed(&frame(number, 0, &[]), (2, 2), &mut inputs).unwrap();
    }
    assert_eq!(bus.connected(3), 41u64.to_be_bytes());
}

/// Also at the start: the first try comes at once, the second soon after.
#[test]
fn a_bus_that_refuses_is_asked_again_soon_and_for_as_long_as_it_does() {
    let mut bus = EventSubscription::new(3, 0);
    let pauses: Vec<Micros> = (0..1000).map(|_| bus.pause()).collect();
    assert_eq!(pauses[..6], [0, 50_000, 100_000, 200_000, 400_000, 400_000]);
    assert!(pauses[6..].iter().all(|p| *p == PAUSE.1));
}

#[test]
fn a_bus_that_answers_and_ends_at_once_is_asked_with_pauses() {
    let mut bus = EventSubscription::new(3, 0);
    let mut pauses = Vec::new();
    for n in 0..6 {
        let now = n * 1000;
        bus.connected(now);
        bus.feed(&frame(3, 0, &[]), (now, now), &mut Vec::new()).unwrap();
        assert!(bus.feed(&[0; 4], (now, now), &mut Vec::new()).is_err());
        pauses.push(bus.pause() / 1000);
    }
    assert_eq!(pauses, [0, 50, 100, 200, 400, 400]);
    // One that stood for a while and broke is asked again at once.
    bus.connected(0);
    bus.feed(&frame(3, 0, &[]), (PAUSE.1, PAUSE.1), &mut Vec::new()).unwrap();
    assert_eq!(bus.pause(), 0);
}

const S: Micros = 1_000_000;

#[test]
fn a_list_is_valid_while_empty_frames_come_and_from_the_end_of_its_connection_no_more() {
    let mut bus = EventSubscription::new(1, 5 * S);
    assert_eq!(bus.valid_until(), 5 * S, "nothing vouches for the list of the start but its reading");
    bus.connected(6 * S);
    assert_eq!(bus.valid_until(), 5 * S);
    bus.feed(&frame(1, 0, &[]), (7 * S, 7 * S), &mut Vec::new()).unwrap();
    assert_eq!(bus.valid_until(), 7 * S + SILENCE);
    // A frame that may have waited while this process did not run vouches from when it came.
    bus.feed(&frame(1, 0, &[]), (9 * S, 8 * S), &mut Vec::new()).unwrap();
    assert_eq!(bus.valid_until(), 8 * S + SILENCE);
    bus.ended(9 * S, 0);
    assert_eq!(bus.valid_until(), 9 * S);
    bus.connected(9 * S);
    assert_eq!(bus.valid_until(), 9 * S);
}

/// Events that were missed come one after the other; only an empty frame says that there are no more of them.
#[test]
fn the_first_of_several_missed_events_does_not_vouch_for_the_list() {
    let mut bus = EventSubscription::new(1, 0);
    bus.connected(0);
    bus.feed(&frame(1, 0, &[]), (S, S), &mut Vec::new()).unwrap();
    bus.ended(2 * S, 0);
    bus.connected(9 * S);
    for number in [2, 3, 3] {
        bus.feed(&frame(number, 2, &row(1, 1)), (10 * S, 10 * S), &mut Vec::new()).unwrap();
        assert_eq!(bus.valid_until(), 2 * S);
    }
    bus.feed(&frame(4, 1, &row(1, 1)), (10 * S, 10 * S), &mut Vec::new()).unwrap();
    assert_eq!(bus.valid_until(), 2 * S, "an event may follow a whole list, too");
    bus.feed(&frame(4, 0, &[]), (11 * S, 11 * S), &mut Vec::new()).unwrap();
    assert_eq!(bus.valid_until(), 11 * S + SILENCE);
}

/// A bus that is slow tells events for as long as it likes without an end of them.
#[test]
fn events_in_a_row_do_not_keep_a_list_valid_without_an_empty_frame() {
    let mut bus = EventSubscription::new(1, 0);
    bus.connected(0);
    bus.feed(&frame(1, 0, &[]), (S, S), &mut Vec::new()).unwrap();
    for number in 2..10 {
        let now = number as Micros * S;
        bus.feed(&frame(number, 2, &row(1, 1)), (now, now), &mut Vec::new()).unwrap();
    }
    assert_eq!(bus.valid_until(), S + SILENCE);
}

#[test]
fn an_end_that_was_seen_late_counts_from_when_it_may_have_come() {
    let mut bus = EventSubscription::new(1, 0);
    bus.connected(0);
    bus.feed(&frame(1, 0, &[]), (10 * S, 10 * S), &mut Vec::new()).unwrap();
    bus.ended(11 * S, S / 2);
    assert_eq!(bus.valid_until(), 11 * S - S / 2);
}

#[test]
fn frames_before_a_missing_event_was_taken_do_not_vouch() {
    let mut bus = EventSubscription::new(1, 0);
    bus.connected(0);
    let mut inputs = Vec::new();
    assert!(bus.feed(&frame(4, 2, &row(1, 1)), (S, S), &mut inputs).is_err(), "a gap");
    bus.ended(S, 0);
    bus.connected(S);
    bus.feed(&frame(1, 1, &row(1, 0)), (2 * S, 2 * S), &mut inputs).unwrap();
    assert!(bus.valid_until() <= S, "the events are told anew and not all are there");
    bus.feed(&frame(4, 2, &row(1, 1)), (3 * S, 3 * S), &mut inputs).unwrap();
    assert!(bus.valid_until() <= S, "an event may follow the last of those that were missed");
    bus.feed(&frame(4, 0, &[]), (4 * S, 4 * S), &mut inputs).unwrap();
    assert_eq!(bus.valid_until(), 4 * S + SILENCE);
}
